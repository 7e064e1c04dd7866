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

/// Longest chain of the job's steps, by the caller's estimates.
fleet::Duration criticalPathLength(const jobs::JobSpec &spec);

/// When an occurrence of the job should be complete to meet its objective.
fleet::TimePoint objectiveOf(const journal::JobRecord &job, const catalog::Queue &queue, std::uint32_t occurrence);

}

#endif
