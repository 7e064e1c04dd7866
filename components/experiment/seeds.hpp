#ifndef COMPONENTS_EXPERIMENT_SEEDS_HPP
#define COMPONENTS_EXPERIMENT_SEEDS_HPP

#include "components/experiment/run_options.hpp"
#include "components/experiment/summary.hpp"

#include <cstdint>
#include <functional>

namespace experiment
{

/// Which seeds to run and on how many threads.
struct SeedRange
{
    std::uint64_t m_first = 1;
    std::uint64_t m_count = 5;
    unsigned m_threads = 4;
};

/// Called after each seed, by one thread at a time, with the number of seeds done.
using Progress = std::function<void(std::uint64_t done)>;

/// Runs every seed of the range; each seed is run by one thread and gives the same figures on any number of threads.
Summary runSeeds(const RunOptions &options, const SeedRange &range, const Progress &progress);

}

#endif
