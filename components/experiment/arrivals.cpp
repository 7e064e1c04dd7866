#include "components/experiment/arrivals.hpp"

#include "components/admission/zone_choice.hpp"
#include "components/experiment/run_state.hpp"
#include "components/experiment/workload.hpp"
#include "components/experiment/zone_loop.hpp"

#include <algorithm>
#include <map>

namespace experiment
{

namespace
{

constexpr fleet::Duration submissionDelay {5};
constexpr fleet::Duration submitRetry = std::chrono::seconds(10);
constexpr fleet::Duration maxRepeatDelay = std::chrono::minutes(1);
constexpr fleet::Duration urgencyPeriod = std::chrono::hours(1);

void keepLargest(fleet::Resources &largest, const fleet::Resources &candidate)
{
    if (candidate.m_accelerators > largest.m_accelerators
        || (candidate.m_accelerators == largest.m_accelerators && candidate.m_milliCores > largest.m_milliCores)) {
        largest = candidate;
    }
}

void addWorkers(const RunState &run, std::size_t zone, admission::ZoneSummary &summary)
{
    struct Rack
    {
        fleet::Resources m_capacity;
        fleet::Resources m_free;
    };
    std::map<fleet::RackId, Rack> racks;
    for (const WorkerRun &worker : run.m_workers) {
        if (worker.m_zone != zone || !worker.m_fake.m_alive || worker.m_leavingSince) {
            continue;
        }
        const fleet::Resources &capacity = worker.m_fake.m_info.m_capacity;
        const fleet::Resources free = capacity - leasedResources(worker.m_fake);
        Rack &rack = racks[worker.m_fake.m_info.m_rack];
        rack.m_capacity = rack.m_capacity + capacity;
        rack.m_free = rack.m_free + free;
        summary.m_capacity = summary.m_capacity + capacity;
        summary.m_free = summary.m_free + free;
        keepLargest(summary.m_largestWorker, capacity);
        keepLargest(summary.m_largestFreeWorker, free);
    }
    for (const auto &[id, rack] : racks) {
        keepLargest(summary.m_largestRack, rack.m_capacity);
        keepLargest(summary.m_largestFreeRack, rack.m_free);
    }
}

/// Sum of the resources requested by the account's jobs in the zone that have not ended.
fleet::Resources openJobResources(const RunState &run, std::size_t zone, const fleet::AccountId &account)
{
    fleet::Resources use;
    for (const auto &[id, job] : run.m_zones[zone].m_scheduler.m_jobs) {
        if (job.m_spec.m_account == account) {
            use = use + job.m_spec.m_shape.total();
        }
    }
    return use;
}

void addGuarantees(const RunState &run, std::size_t zone, const fleet::AccountId &account, admission::ZoneSummary &summary)
{
    for (const scheduler::ZoneAccount &entitled : zoneAccounts(run, zone)) {
        if (entitled.m_account != account) {
            continue;
        }
        for (const fleet::Shape &shape : entitled.m_guarantees) {
            if (openJobResources(run, zone, account) == fleet::Resources()) {
                summary.m_unfilledGuarantees.push_back({account, shape});
            }
        }
    }
}

admission::ZoneSummary summarize(const RunState &run, std::size_t zone, const fleet::AccountId &account)
{
    admission::ZoneSummary summary;
    summary.m_zone = run.m_site.m_zones[zone];
    summary.m_out = run.m_zones[zone].m_outSince.has_value();
    addWorkers(run, zone, summary);
    for (const std::size_t waiting : run.m_zones[zone].m_waiting) {
        if (!run.m_jobs[waiting].m_impossible) {
            summary.m_queued = summary.m_queued + run.m_jobs[waiting].m_spec.m_shape.total();
        }
    }
    addGuarantees(run, zone, account, summary);
    return summary;
}

bool isEntitled(const fleet::JobSpec &spec, const admission::ZoneSummary &summary)
{
    return std::any_of(summary.m_unfilledGuarantees.begin(), summary.m_unfilledGuarantees.end(), [&](const admission::UnfilledGuarantee &guarantee) {
        return guarantee.m_account == spec.m_account && guarantee.m_shape == spec.m_shape;
    });
}

bool isWithinUrgencyBudget(const RunState &run, std::size_t index, std::size_t zone, fleet::TimePoint now)
{
    const fleet::JobSpec &spec = run.m_jobs[index].m_spec;
    const auto policy = std::find_if(run.m_site.m_accounts.begin(), run.m_site.m_accounts.end(), [&](const fleet::AccountPolicy &candidate) {
        return candidate.m_account == spec.m_account;
    });
    int urgent = 0;
    for (std::size_t other = 0; other < index; ++other) {
        const fleet::JobSpec &earlier = run.m_jobs[other].m_spec;
        const bool counts = earlier.m_account == spec.m_account && earlier.m_urgency == fleet::Urgency::Urgent && run.m_records[other].m_zone == zone;
        urgent += counts && earlier.m_submittedAt + urgencyPeriod > now ? 1 : 0;
    }
    return urgent < policy->m_urgentPerHour;
}

void sendArrival(RunState &run, std::size_t index, std::size_t zone, fleet::TimePoint now)
{
    const scheduler::JobArrived arrived {run.m_jobs[index].m_spec, 0, fleet::Duration(0)};
    const auto send = [&run, zone, arrived](fleet::TimePoint at) {
        deliver(run, zone, arrived, at);
    };
    run.m_timers.add(now + submissionDelay, send);
    if (chance(run.m_random, run.m_faults.m_messages.m_duplicated)) {
        run.m_timers.add(now + uniformDuration(run.m_random, submissionDelay, maxRepeatDelay), send);
    }
}

void recordEntitlement(RunState &run, std::size_t index, const admission::ZoneSummary &summary, fleet::TimePoint now)
{
    JobRecord &record = run.m_records[index];
    const fleet::JobSpec &spec = run.m_jobs[index].m_spec;
    const bool isCounted = spec.m_submittedAt > runStart && !summary.m_out;
    record.m_isWithinGuarantee = isCounted && isEntitled(spec, summary);
    record.m_isWithinUrgencyBudget = isCounted && spec.m_urgency == fleet::Urgency::Urgent && isWithinUrgencyBudget(run, index, *record.m_zone, now);
}

}

void submitJob(RunState &run, std::size_t index, fleet::TimePoint now)
{
    const fleet::JobSpec &spec = run.m_jobs[index].m_spec;
    std::vector<admission::ZoneSummary> summaries;
    for (std::size_t zone = 0; zone < run.m_zones.size(); ++zone) {
        summaries.push_back(summarize(run, zone, spec.m_account));
    }
    const std::optional<fleet::ZoneId> chosen = admission::chooseZone(spec, summaries);
    if (!chosen) {
        run.m_timers.add(now + submitRetry, [&run, index](fleet::TimePoint at) {
            submitJob(run, index, at);
        });
        return;
    }
    const auto place = std::find(run.m_site.m_zones.begin(), run.m_site.m_zones.end(), *chosen);
    const std::size_t zone = static_cast<std::size_t>(place - run.m_site.m_zones.begin());
    run.m_records[index].m_zone = zone;
    recordEntitlement(run, index, summaries[zone], now);
    run.m_zones[zone].m_waiting.insert(index);
    sendArrival(run, index, zone, now);
}

void cancelJob(RunState &run, std::size_t index, fleet::TimePoint now)
{
    const JobRecord &record = run.m_records[index];
    if (record.m_zone && !record.m_endedAt) {
        deliver(run, *record.m_zone, scheduler::JobCancelRequested {run.m_jobs[index].m_spec.m_id}, now);
    }
}

}
