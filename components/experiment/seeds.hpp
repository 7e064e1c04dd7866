#ifndef COMPONENTS_EXPERIMENT_SEEDS_HPP
#define COMPONENTS_EXPERIMENT_SEEDS_HPP

#include "components/experiment/run_options.hpp"
#include "components/experiment/summary.hpp"

#include <cstdint>
#include <functional>

namespace experiment
{

/// Seeds to run and the number of threads to run them on.
struct SeedRange
{
    std::uint64_t m_first = 1;
    std::uint64_t m_count = 5;
    unsigned m_threads = 4;
};

/// Called after each seed with the number of completed seeds, by one thread at a time.
using Progress = std::function<void(std::uint64_t done)>;

/// Runs all seeds of the range, each on one thread. The results do not depend on the number of threads.
Summary runSeeds(const RunOptions &options, const SeedRange &range, const Progress &progress);

}

#endif
