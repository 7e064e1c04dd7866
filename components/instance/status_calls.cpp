#include "components/instance/status_calls.hpp"

#include "components/configuration/resolve.hpp"
#include "components/instance/core.hpp"
#include "components/instance/stopping.hpp"
#include "components/instance/zone_view.hpp"
#include "components/membership/view.hpp"
#include "components/report/delivery.hpp"
#include "components/report/objective_targets.hpp"

#include <algorithm>

namespace instance
{

namespace
{

fleet::Duration logLag(const Core &core, fleet::TimePoint now)
{
    const auto age = [now](const LogReader &reader) {
        return now - reader.m_readToEndAt.value_or(fleet::TimePoint());
    };
    return std::max(age(core.m_configurationReader), age(core.m_systemReader));
}

/// Returns every zone that has workers or a holder, and this instance's own zone.
std::map<fleet::ZoneId, api::ZoneStatus> zoneStatuses(const Core &core)
{
    std::map<fleet::ZoneId, api::ZoneStatus> zones;
    zones[core.m_settings.m_zone];
    for (const platform::WorkerEntry &worker : core.m_platform.m_list.m_workers) {
        api::ZoneStatus &zone = zones[worker.m_info.m_zone];
        if (!worker.m_leaving) {
            ++zone.m_liveWorkers;
            zone.m_accelerators += worker.m_info.m_capacity.m_accelerators;
        }
    }
    for (const auto &[id, holder] : core.m_records.m_state.m_holders) {
        if (!holder.m_released) {
            zones[id].m_holder = holder.m_writer.m_instance;
        }
    }
    return zones;
}

void addZones(api::StatusView &status, const Core &core, fleet::TimePoint now)
{
    const std::vector<fleet::ZoneId> provisional = membership::provisionallyOut(core.m_membership);
    for (auto &[id, zone] : zoneStatuses(core)) {
        zone.m_zone = id;
        zone.m_out = isZoneOut(core, id);
        zone.m_provisional = std::find(provisional.begin(), provisional.end(), id) != provisional.end();
        const bool isOwn = id == core.m_settings.m_zone;
        zone.m_startsAllowed = isOwn ? zones::isAllowed(startPermission(core, now)) : !zone.m_out;
        status.m_zones.push_back(zone);
    }
}

std::int64_t guaranteedAccelerators(const configuration::Account &account)
{
    std::int64_t total = 0;
    for (const fleet::GuaranteedShape &guarantee : account.m_guarantees) {
        total += guarantee.m_shape.total().m_accelerators * guarantee.m_count;
    }
    return total;
}

void addAccounts(api::StatusView &status, const Core &core)
{
    std::map<fleet::AccountId, api::AccountStatus> accounts;
    for (const configuration::Account &account : core.m_configuration.m_configuration.m_accounts) {
        accounts[account.m_id].m_guaranteed = guaranteedAccelerators(account);
    }
    for (const auto &[id, job] : core.m_records.m_state.m_jobs) {
        api::AccountStatus &account = accounts[job.m_spec.m_account];
        if (job.m_phase == records::JobPhase::Running) {
            ++account.m_runningJobs;
            account.m_used += job.m_spec.m_shape.total().m_accelerators;
        } else if (job.m_phase == records::JobPhase::Waiting) {
            ++account.m_waitingJobs;
        }
    }
    for (auto &[id, account] : accounts) {
        account.m_account = id;
        account.m_borrowed = std::max<std::int64_t>(0, account.m_used - account.m_guaranteed);
        status.m_accounts.push_back(account);
    }
}

void addWaitingJobs(api::StatusView &status, const Core &core, fleet::TimePoint now)
{
    for (const auto &[id, job] : core.m_records.m_state.m_jobs) {
        if (job.m_phase == records::JobPhase::Waiting) {
            status.m_waiting.push_back({id, job.m_spec.m_account, job.m_zone, explainWait(core, job, now)});
        }
    }
}

std::string memberState(const Core &core, const membership::Member &member, fleet::TimePoint now)
{
    if (member.m_phase == membership::MemberPhase::Gone) {
        return "gone";
    }
    if (member.m_phase == membership::MemberPhase::Leaving || member.m_listLeaving) {
        return "leaving";
    }
    return membership::isSuspected(core.m_membership, member, now) ? "suspected" : "alive";
}

void addInstances(api::StatusView &status, const Core &core, fleet::TimePoint now)
{
    status.m_instances.push_back({core.m_settings.m_instance, core.m_settings.m_zone, isStopping(core) ? "leaving" : "alive"});
    for (const auto &[id, member] : core.m_membership.m_members) {
        status.m_instances.push_back({id, member.m_zone, memberState(core, member, now)});
    }
}

std::string describe(const configuration::Exception &exception)
{
    std::string text;
    const auto add = [&text](const std::string &part) {
        text += (text.empty() ? "" : ", ") + part;
    };
    if (exception.m_guarantees) {
        add(std::to_string(exception.m_guarantees->size()) + " guaranteed shapes");
    }
    if (exception.m_quota) {
        add("quota of " + std::to_string(exception.m_quota->m_accelerators) + " accelerators");
    }
    if (exception.m_urgentPerHour) {
        add(std::to_string(*exception.m_urgentPerHour) + " urgent starts an hour");
    }
    if (exception.m_weight) {
        add("weight " + std::to_string(*exception.m_weight));
    }
    return (exception.m_account.empty() ? "every account" : exception.m_account.value()) + ": " + text;
}

std::vector<report::ExceptionSummary> exceptionLines(const Core &core, fleet::TimePoint now)
{
    std::vector<report::ExceptionSummary> lines;
    for (const configuration::Exception &exception : core.m_configuration.m_configuration.m_exceptions) {
        lines.push_back({exception.m_id.value(),
                         exception.m_operator.value(),
                         exception.m_from,
                         exception.m_until,
                         exception.m_reason,
                         describe(exception),
                         exception.isInForce(now)});
    }
    return lines;
}

}

api::StatusView makeStatus(const Core &core, fleet::TimePoint now)
{
    api::StatusView status;
    status.m_instance = core.m_settings.m_instance;
    status.m_zone = core.m_settings.m_zone;
    status.m_at = now;
    status.m_configurationVersion = core.m_configuration.m_configuration.m_version;
    status.m_logReachable = isLogReachable(core);
    status.m_logLag = logLag(core, now);
    status.m_stopping = isStopping(core);
    addZones(status, core, now);
    addAccounts(status, core);
    addWaitingJobs(status, core, now);
    addInstances(status, core, now);
    return status;
}

api::ReportDocument makeReport(const Core &core, const api::ReportQuery &query, fleet::TimePoint now)
{
    const report::Month month = query.m_month == report::Month() ? report::monthOf(now) : query.m_month;
    return api::renderReport(report::makeDelivery(core.m_jobHistory.m_reportTotals, {}, exceptionLines(core, now), month, now), query);
}

std::string explainWait(const Core &core, const records::Job &job, fleet::TimePoint now)
{
    if (isZoneOut(core, job.m_zone)) {
        return "availability zone " + job.m_zone.value() + " is out of service";
    }
    const records::Holder *holder = core.m_records.m_state.findHolder(job.m_zone);
    if (!holder || holder->m_released) {
        return "no instance holds the scheduling duty of " + job.m_zone.value();
    }
    if (job.m_zone == core.m_settings.m_zone && !zones::isAllowed(startPermission(core, now))) {
        return "this instance's view of the configuration is too old to start anything";
    }
    return job.m_reason.empty() ? "waits for capacity" : "waits after its last attempt ended: " + job.m_reason;
}

}
