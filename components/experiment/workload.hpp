#ifndef COMPONENTS_EXPERIMENT_WORKLOAD_HPP
#define COMPONENTS_EXPERIMENT_WORKLOAD_HPP

#include "components/experiment/planned_job.hpp"
#include "components/experiment/site.hpp"

#include <cstdint>
#include <vector>

namespace experiment
{

/// First moment of every run.
inline constexpr fleet::TimePoint runStart {std::chrono::hours(24 * 365 * 50)};

/// Jobs that arrive within `horizon` of runStart, by time of submission.
///
/// The accelerator time that the jobs really keep busy, with what overstated memory blocks, is paced to the site's
/// offered load. Some arrive in bursts of
/// small or of large jobs, and the run begins with a backlog as of a fleet already at work.
std::vector<PlannedJob> generateWorkload(const Site &site, std::uint64_t seed, fleet::Duration horizon);

}

#endif
