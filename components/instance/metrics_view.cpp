#include "components/instance/metrics_view.hpp"

#include "components/instance/core.hpp"
#include "components/instance/stopping.hpp"
#include "components/instance/zone_view.hpp"
#include "components/membership/view.hpp"

#include <algorithm>

namespace instance
{

namespace
{

void set(Core &core, const std::string &name, const std::string &help, std::int64_t value)
{
    core.m_metrics->gauge("foxtailcross_" + name, help).set(value);
}

std::int64_t countJobs(const Core &core, records::JobPhase phase)
{
    const auto &jobs = core.m_records.m_state.m_jobs;
    return std::count_if(jobs.begin(), jobs.end(), [phase](const auto &entry) {
        return entry.second.m_phase == phase;
    });
}

void setJobGauges(Core &core)
{
    set(core, "jobs_waiting", "Jobs of every zone that wait.", countJobs(core, records::JobPhase::Waiting));
    set(core, "jobs_running", "Jobs of every zone that run.", countJobs(core, records::JobPhase::Running));
    set(core, "scheduler_holding", "1 where this instance holds its zone's scheduling duty.", core.m_duty.m_role == duty::Role::Holding ? 1 : 0);
    set(core, "records_pending", "Records that the log has not confirmed.", static_cast<std::int64_t>(core.m_batcher.m_pending.size()));
    set(core, "records_skipped", "Entries of the system's stream that could not be read.", static_cast<std::int64_t>(core.m_records.m_skipped));
}

void setRequestGauges(Core &core)
{
    set(core, "requests_queued", "Requests that wait for a runner.", static_cast<std::int64_t>(core.m_requests.m_queued));
    set(core, "requests_in_flight", "Attempts at requests without an answer.", static_cast<std::int64_t>(core.m_requests.m_inFlight));
    set(core, "requests_kept", "Requests in the table.", static_cast<std::int64_t>(core.m_requests.m_entries.size()));
    set(core, "request_answers_stray", "Answers of runners that fitted no open attempt.", static_cast<std::int64_t>(core.m_requests.m_strayAnswers));
}

void setByteGauges(Core &core)
{
    if (!core.m_ports.m_clientBytes) {
        return;
    }
    const ClientBytes bytes = core.m_ports.m_clientBytes();
    set(core, "client_sent_bytes", "HTTP bytes sent to the platform, targets and other instances.", static_cast<std::int64_t>(bytes.m_sent));
    set(core, "client_received_bytes", "HTTP bytes received as answers of those.", static_cast<std::int64_t>(bytes.m_received));
}

}

std::string renderMetrics(Core &core, fleet::TimePoint now)
{
    setByteGauges(core);
    setJobGauges(core);
    setRequestGauges(core);
    set(core,
        "configuration_version",
        "Version of the configuration in force here.",
        static_cast<std::int64_t>(core.m_configuration.m_configuration.m_version.m_value));
    set(core,
        "configuration_skipped",
        "Records of the configuration stream that could not be read.",
        static_cast<std::int64_t>(core.m_configuration.m_skipped));
    set(core, "log_reachable", "1 where the last reads of the log succeeded.", isLogReachable(core) ? 1 : 0);
    set(core, "starts_allowed", "1 where new tasks may start in this zone.", zones::isAllowed(startPermission(core, now)) ? 1 : 0);
    set(core, "instances_fit", "Instances that are alive and not leaving, this one included.", membership::countFitInstances(core.m_membership, now));
    set(core, "stopping", "1 while a planned stop is under way.", isStopping(core) ? 1 : 0);
    return core.m_metrics->render();
}

}
