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

/// Returns when an occurrence of the job was accepted or became due. Those that were due when the job was accepted are expected one after the other
/// from then on, so that other jobs have their turns between them.
fleet::TimePoint beginOf(const journal::JobRecord &job, std::uint32_t occurrence, fleet::Duration criticalPath);

/// Returns the completion time that meets the objective for an occurrence of the job.
fleet::TimePoint objectiveOf(const journal::JobRecord &job, const catalog::Queue &queue, std::uint32_t occurrence);
/// The same with a known length of the critical path, which takes a while to find for a job of many steps.
fleet::TimePoint objectiveOf(const journal::JobRecord &job, const catalog::Queue &queue, std::uint32_t occurrence, fleet::Duration criticalPath);

}

#endif
