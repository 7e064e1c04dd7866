#ifndef COMPONENTS_DISPATCH_LAUNCH_LIMITS_HPP
#define COMPONENTS_DISPATCH_LAUNCH_LIMITS_HPP

#include <cstddef>

namespace journal
{
struct JobRecord;
}

namespace dispatch
{

struct Candidate;
struct Context;

/// Returns how many further units of a limited resource a job may take that has `own` of the `inUse` units. A job gets at most a seventh of what it
/// leaves to the others, so that those after it find room, however much a single job asks for. A part of the resource is kept for jobs of higher priority, and a part for jobs that have nothing yet.
std::size_t allowance(std::size_t limit, std::size_t inUse, std::size_t own, int priority);

/// Numbers of tasks that a job may have launched now.
struct LaunchAllowance
{
    /// Limited by the starts that are awaited and by the open runs.
    std::size_t m_tasks = 0;
    /// Limited by the journal records of occurrences that have begun as well; counts for new occurrences of timed jobs.
    std::size_t m_tasksOfNewOccurrences = 0;

    bool operator==(const LaunchAllowance &) const = default;
};

/// Returns the number of step records that the journal keeps for begun occurrences of timed jobs.
std::size_t countOccurrenceRecords(const Context &context);

/// @param occurrenceRecords see countOccurrenceRecords()
LaunchAllowance launchAllowance(const Context &context, const journal::JobRecord &job, int priority, std::size_t occurrenceRecords);

/// Takes the tasks from the candidate that must not be launched yet, so that neither the orders under way nor the open runs of a holder grow with
/// what a job asks for. Members that join a running gang are not limited.
void limitLaunches(const Context &context, Candidate &candidate);

}

#endif
