#ifndef COMPONENTS_EXPERIMENT_RUN_HPP
#define COMPONENTS_EXPERIMENT_RUN_HPP

#include "components/experiment/run_options.hpp"
#include "components/experiment/run_stats.hpp"

#include <cstdint>

namespace experiment
{

/// Runs one seed in virtual time on the calling thread. The same options and seed always give the same statistics.
RunStats runExperiment(const RunOptions &options, std::uint64_t seed);

}

#endif
