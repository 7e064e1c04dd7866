#include "components/dispatch/objectives.hpp"

#include "components/catalog/queue.hpp"
#include "components/journal/job_record.hpp"

#include <algorithm>
#include <chrono>

namespace dispatch
{

namespace
{

/// Maximum time after which the next of several occurrences that were due from the start is expected to begin.
constexpr fleet::Duration longestTurn = std::chrono::hours(1);

}

fleet::Duration criticalPathLength(const jobs::JobSpec &spec)
{
    std::vector<fleet::Duration> ends(spec.m_steps.size());
    fleet::Duration longest {0};
    for (std::size_t index = 0; index < ends.size(); ++index) {
        const jobs::StepSpec &step = spec.m_steps[index];
        fleet::Duration start {0};
        for (const std::uint16_t earlier : step.m_dependsOn) {
            start = std::max(start, ends.at(earlier));
        }
        ends[index] = start + step.m_estimate;
        longest = std::max(longest, ends[index]);
    }
    return longest;
}

fleet::TimePoint beginOf(const journal::JobRecord &job, std::uint32_t occurrence, fleet::Duration criticalPath)
{
    const jobs::Schedule &schedule = job.m_spec.m_schedule;
    if (!schedule.isTimed()) {
        return job.m_acceptedAt;
    }
    const fleet::TimePoint due = schedule.dueTime(occurrence);
    return due < job.m_acceptedAt ? job.m_acceptedAt + occurrence * std::min(criticalPath, longestTurn) : due;
}

fleet::TimePoint objectiveOf(const journal::JobRecord &job, const catalog::Queue &queue, std::uint32_t occurrence)
{
    return objectiveOf(job, queue, occurrence, criticalPathLength(job.m_spec));
}

fleet::TimePoint objectiveOf(const journal::JobRecord &job, const catalog::Queue &queue, std::uint32_t occurrence, fleet::Duration criticalPath)
{
    const double stretched = static_cast<double>(criticalPath.count()) * queue.m_stretch;
    return beginOf(job, occurrence, criticalPath) + fleet::Duration(static_cast<std::int64_t>(stretched)) + queue.m_slack;
}

}
