#include "components/dispatch/launch_limits.hpp"

#include "components/dispatch/candidate.hpp"
#include "components/dispatch/context.hpp"
#include "components/jobs/step_spec.hpp"

#include <algorithm>

namespace dispatch
{

namespace
{

/// Of so many parts of a resource each lower priority leaves one unused, and jobs that have some of it leave one to those that have none.
constexpr std::size_t parts = 8;
constexpr int lowestPriority = 3;
/// A job may have as much as it leaves unused, divided by this.
constexpr std::size_t unusedToOwn = 7;

std::size_t unused(std::size_t limit, std::size_t inUse, std::size_t own, int priority)
{
    const std::size_t kept = static_cast<std::size_t>(std::clamp(priority, 0, lowestPriority)) + (own > 0 ? 1 : 0);
    const std::size_t usable = limit * (parts - kept) / parts;
    return usable > inUse ? usable - inUse : 0;
}

std::size_t recordsOf(const journal::JobRecord &job)
{
    return job.m_spec.m_schedule.isTimed() ? job.m_occurrences.size() * job.m_spec.m_steps.size() : 0;
}

std::size_t allowedStarts(const State &state, const journal::JobRecord &job, int priority)
{
    return allowance(AwaitedStarts::limit, state.m_awaitedStarts.counted(), state.m_awaitedStarts.of(job.m_spec.m_id), priority);
}

std::size_t allowedRuns(const State &state, const journal::JobRecord &job, int priority)
{
    return allowance(state.m_settings.m_maxOpenRuns, state.m_runs.size(), job.m_openRuns, priority);
}

/// A gang is launched as a whole or not at all. One that is wider than the share of its job is launched once the job awaits no other starts, if the
/// open runs leave room for all members.
bool mayLaunchGang(std::size_t members, std::size_t starts, std::size_t ownStarts, std::size_t unusedRuns)
{
    const bool mayStart = members <= starts || (ownStarts == 0 && starts > 0);
    return mayStart && members <= unusedRuns;
}

}

std::size_t allowance(std::size_t limit, std::size_t inUse, std::size_t own, int priority)
{
    const std::size_t left = unused(limit, inUse, own, priority);
    if (left <= unusedToOwn * own) {
        return 0;
    }
    return std::max<std::size_t>(1, (left - unusedToOwn * own) / (unusedToOwn + 1));
}

std::size_t countOccurrenceRecords(const Context &context)
{
    std::size_t records = 0;
    for (const auto &[id, seenAt] : context.m_state.m_activeJobs) {
        records += recordsOf(context.m_journalState.m_jobs.at(id));
    }
    return records;
}

LaunchAllowance launchAllowance(const Context &context, const journal::JobRecord &job, int priority, std::size_t occurrenceRecords)
{
    const State &state = context.m_state;
    const std::size_t records = allowance(state.m_settings.m_maxOpenRuns, occurrenceRecords, recordsOf(job), priority);
    const std::size_t tasks = std::min(allowedStarts(state, job, priority), allowedRuns(state, job, priority));
    return {tasks, job.m_spec.m_schedule.isTimed() ? std::min(tasks, records) : tasks};
}

void limitLaunches(const Context &context, Candidate &candidate)
{
    if (candidate.m_joinedRun > 0) {
        return;
    }
    const State &state = context.m_state;
    const journal::JobRecord &job = context.m_journalState.m_jobs.at(candidate.m_step.m_job);
    const int priority = candidate.m_queue->m_priority;
    const std::size_t starts = allowedStarts(state, job, priority);
    const std::size_t tasks = candidate.m_tasks.size();
    std::size_t allowed = std::min({tasks, starts, allowedRuns(state, job, priority)});
    if (candidate.m_spec->m_isGang) {
        const std::size_t unusedRuns = unused(state.m_settings.m_maxOpenRuns, state.m_runs.size(), job.m_openRuns, priority);
        allowed = mayLaunchGang(tasks, starts, state.m_awaitedStarts.of(candidate.m_step.m_job), unusedRuns) ? tasks : 0;
    }
    candidate.m_isLimited = allowed < tasks;
    candidate.m_unlistedTasks += tasks - allowed;
    candidate.m_tasks.resize(allowed);
}

}
