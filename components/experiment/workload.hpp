#ifndef COMPONENTS_EXPERIMENT_WORKLOAD_HPP
#define COMPONENTS_EXPERIMENT_WORKLOAD_HPP

#include "components/experiment/planned_job.hpp"
#include "components/experiment/site.hpp"

#include <cstdint>
#include <vector>

namespace experiment
{

/// Virtual time at which every run starts.
inline constexpr fleet::TimePoint runStart {std::chrono::hours(24 * 365 * 50)};

/// Generates the jobs that arrive within `horizon` of runStart, sorted by time of submission.
///
/// Arrivals are paced so that the accelerator time blocked by the jobs, including accelerators blocked by overstated
/// memory requests, matches the site's offered load. Some jobs arrive in bursts of small or of large jobs. The run starts
/// with a backlog, as on a fleet that is already in use.
std::vector<PlannedJob> generateWorkload(const Site &site, std::uint64_t seed, fleet::Duration horizon);

}

#endif
