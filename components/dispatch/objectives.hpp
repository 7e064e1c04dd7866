#ifndef COMPONENTS_DISPATCH_OBJECTIVES_HPP
#define COMPONENTS_DISPATCH_OBJECTIVES_HPP

#include "components/fleet/time.hpp"

#include <cstdint>

namespace catalog
{
struct Queue;
}

namespace jobs
{
struct JobSpec;
}

namespace journal
{
struct JobRecord;
}

namespace dispatch
{

/// Returns the length of the critical path through the job's steps, by the caller's estimates.
fleet::Duration criticalPathLength(const jobs::JobSpec &spec);

/// Returns when an occurrence of the job was accepted or became due.
fleet::TimePoint beginOf(const journal::JobRecord &job, std::uint32_t occurrence);

/// Returns the completion time that meets the objective for an occurrence of the job.
fleet::TimePoint objectiveOf(const journal::JobRecord &job, const catalog::Queue &queue, std::uint32_t occurrence);
/// The same with a known length of the critical path, which takes a while to find for a job of many steps.
fleet::TimePoint objectiveOf(const journal::JobRecord &job, const catalog::Queue &queue, std::uint32_t occurrence, fleet::Duration criticalPath);

}

#endif
