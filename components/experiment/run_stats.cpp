#include "components/experiment/run_stats.hpp"

#include "components/experiment/run_state.hpp"

#include <algorithm>
#include <cmath>
#include <map>

namespace experiment
{

namespace
{

/// A large job counts as starved if it waits longer than both starvationWait and starvationRunTimes times its run time.
constexpr fleet::Duration starvationWait = std::chrono::hours(4);
constexpr int starvationRunTimes = 4;

double seconds(fleet::Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

double ratio(double part, double whole)
{
    return whole > 0.0 ? part / whole : 0.0;
}

/// First time at which all tasks of the job were running; empty if that never happened.
std::optional<fleet::TimePoint> startOf(const RunState &run, std::size_t index)
{
    const auto found = run.m_audit.m_jobs.find(run.m_jobs[index].m_spec.m_id);
    return found == run.m_audit.m_jobs.end() ? std::nullopt : found->second.m_allRunningAt;
}

/// Time from submission to completion. A job that was not done counts up to the end of the run.
fleet::Duration completionTime(const RunState &run, std::size_t index, fleet::TimePoint end)
{
    const JobRecord &record = run.m_records[index];
    const bool isDone = record.m_endedAt && record.m_outcome == scheduler::JobOutcome::Done;
    return (isDone ? *record.m_endedAt : end) - run.m_jobs[index].m_spec.m_submittedAt;
}

fleet::Duration waitOf(const RunState &run, std::size_t index, fleet::TimePoint end)
{
    return startOf(run, index).value_or(end) - run.m_jobs[index].m_spec.m_submittedAt;
}

/// Returns true if the job's zone was out at any time between the job's submission and its start.
bool wasZoneOut(const RunState &run, std::size_t index, fleet::TimePoint end)
{
    const fleet::TimePoint submittedAt = run.m_jobs[index].m_spec.m_submittedAt;
    const fleet::TimePoint startedAt = startOf(run, index).value_or(end);
    return std::any_of(run.m_faults.m_faults.begin(), run.m_faults.m_faults.end(), [&](const Fault &fault) {
        const bool overlaps = fault.m_from <= startedAt && submittedAt <= fault.m_until;
        return fault.m_kind == FaultKind::ZoneOut && run.m_records[index].m_zone == fault.m_subject && overlaps;
    });
}

bool isLarge(const RunState &run, const PlannedJob &job)
{
    return job.m_spec.m_shape.total().m_accelerators >= run.m_site.m_minLargeJobAccelerators;
}

bool isStarved(const PlannedJob &job, fleet::Duration wait)
{
    return wait > std::max<fleet::Duration>(starvationWait, job.m_runTime * starvationRunTimes);
}

/// Unsorted samples from which the quantiles are computed.
struct Collected
{
    std::vector<double> m_runTimes;
    std::vector<double> m_completions;
    std::vector<double> m_largeCompletions;
    std::vector<double> m_guaranteeWaits;
    std::vector<double> m_urgentWaits;
    std::map<fleet::AccountId, std::vector<double>> m_byAccount;
};

void collectSound(const RunState &run, std::size_t index, fleet::TimePoint end, Collected &collected, RunStats &stats)
{
    const PlannedJob &job = run.m_jobs[index];
    const JobRecord &record = run.m_records[index];
    const double completion = seconds(completionTime(run, index, end));
    const fleet::Duration wait = waitOf(run, index, end);
    const bool isDone = record.m_endedAt && record.m_outcome == scheduler::JobOutcome::Done;
    stats.m_done += isDone ? 1.0 : 0.0;
    stats.m_endedWithoutSuccess += record.m_endedAt && !isDone ? 1.0 : 0.0;
    stats.m_neverStarted += startOf(run, index) ? 0.0 : 1.0;
    collected.m_runTimes.push_back(seconds(job.m_runTime));
    collected.m_completions.push_back(completion);
    collected.m_byAccount[job.m_spec.m_account].push_back(completion);
    if (isLarge(run, job)) {
        collected.m_largeCompletions.push_back(completion);
        stats.m_starvedLarge += isStarved(job, wait) ? 1.0 : 0.0;
    }
    if (wasZoneOut(run, index, end)) {
        return;
    }
    if (record.m_isWithinGuarantee) {
        collected.m_guaranteeWaits.push_back(seconds(wait));
    }
    if (record.m_isWithinUrgencyBudget) {
        collected.m_urgentWaits.push_back(seconds(wait));
    }
}

Collected collect(const RunState &run, fleet::TimePoint end, RunStats &stats)
{
    Collected collected;
    for (std::size_t index = 0; index < run.m_jobs.size(); ++index) {
        const PlannedJob &job = run.m_jobs[index];
        stats.m_impossibleNotRefused += job.m_impossible && !run.m_records[index].m_endedAt ? 1.0 : 0.0;
        if (job.isSound()) {
            collectSound(run, index, end, collected, stats);
        }
    }
    return collected;
}

std::vector<double> sorted(std::vector<double> values)
{
    std::sort(values.begin(), values.end());
    return values;
}

}

const std::vector<Measure> &measures()
{
    static const std::vector<Measure> all {
        {"jobs", "", &RunStats::m_jobs},
        {"sound jobs done", "", &RunStats::m_done},
        {"run time median", "s", &RunStats::m_runTimeMedian},
        {"run time p95", "s", &RunStats::m_runTimeP95},
        {"completion median", "s", &RunStats::m_completionMedian},
        {"completion p95", "s", &RunStats::m_completionP95},
        {"large jobs' completion p95", "s", &RunStats::m_largeCompletionP95},
        {"fragmentation", "share of free", &RunStats::m_fragmentation},
        {"largest startable gang", "share of free", &RunStats::m_largestGangShare},
        {"accelerators working", "share", &RunStats::m_working},
        {"working in a zone change", "share", &RunStats::m_workingInZoneChange},
        {"guarantees asked", "", &RunStats::m_guaranteedJobs},
        {"guarantee asked to running, median", "s", &RunStats::m_guaranteeMedian},
        {"guarantee asked to running, max", "s", &RunStats::m_guaranteeMax},
        {"urgent starts", "", &RunStats::m_urgentStarts},
        {"urgent start p99", "s", &RunStats::m_urgentP99},
        {"wasted accelerator hours", "h", &RunStats::m_wastedAcceleratorHours},
        {"sound jobs given up", "", &RunStats::m_endedWithoutSuccess},
        {"sound jobs never started", "", &RunStats::m_neverStarted},
        {"large jobs starved", "", &RunStats::m_starvedLarge},
        {"impossible jobs kept", "", &RunStats::m_impossibleNotRefused},
    };
    return all;
}

double quantile(const std::vector<double> &sorted, double share)
{
    if (sorted.empty()) {
        return 0.0;
    }
    const double place = std::ceil(share * static_cast<double>(sorted.size())) - 1.0;
    const double last = static_cast<double>(sorted.size() - 1);
    return sorted[static_cast<std::size_t>(std::clamp(place, 0.0, last))];
}

RunStats collectRunStats(const RunState &run, std::uint64_t seed, fleet::TimePoint end)
{
    RunStats stats;
    stats.m_seed = seed;
    Collected collected = collect(run, end, stats);
    stats.m_jobs = static_cast<double>(run.m_jobs.size());
    const std::vector<double> runTimes = sorted(std::move(collected.m_runTimes));
    stats.m_runTimeMedian = quantile(runTimes, 0.5);
    stats.m_runTimeP95 = quantile(runTimes, 0.95);
    stats.m_completions = sorted(std::move(collected.m_completions));
    stats.m_completionMedian = quantile(stats.m_completions, 0.5);
    stats.m_completionP95 = quantile(stats.m_completions, 0.95);
    stats.m_largeCompletionP95 = quantile(sorted(std::move(collected.m_largeCompletions)), 0.95);
    const std::vector<double> guaranteeWaits = sorted(std::move(collected.m_guaranteeWaits));
    stats.m_guaranteedJobs = static_cast<double>(guaranteeWaits.size());
    stats.m_guaranteeMedian = quantile(guaranteeWaits, 0.5);
    stats.m_guaranteeMax = quantile(guaranteeWaits, 1.0);
    const std::vector<double> urgentWaits = sorted(std::move(collected.m_urgentWaits));
    stats.m_urgentStarts = static_cast<double>(urgentWaits.size());
    stats.m_urgentP99 = quantile(urgentWaits, 0.99);
    const Samples &samples = run.m_samples;
    stats.m_fragmentation = ratio(samples.m_unusable, samples.m_free);
    stats.m_largestGangShare = ratio(samples.m_largestGangShare, static_cast<double>(samples.m_gangSamples));
    stats.m_working = ratio(samples.m_working, samples.m_capacity);
    stats.m_workingInZoneChange = ratio(samples.m_workingInZoneChange, samples.m_capacityInZoneChange);
    stats.m_wastedAcceleratorHours = run.m_wastedAcceleratorHours;
    for (auto &[account, completions] : collected.m_byAccount) {
        const std::vector<double> values = sorted(std::move(completions));
        stats.m_accounts.push_back({account, static_cast<double>(values.size()), quantile(values, 0.5), quantile(values, 0.95)});
    }
    stats.m_violations = run.m_audit.m_violations;
    return stats;
}

}
