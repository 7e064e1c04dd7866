#ifndef COMPONENTS_DISPATCH_RUN_COUNTS_HPP
#define COMPONENTS_DISPATCH_RUN_COUNTS_HPP

#include "components/dispatch/run_end_proof.hpp"

#include <cstdint>
#include <map>

namespace dispatch
{

/// Numbers of events around runs that may have begun twice, for the metrics.
struct RunCounts
{
    std::uint64_t m_workerRestarts = 0;
    /// Runs that a worker reported as running although they are not open there.
    std::uint64_t m_strayRuns = 0;
    /// Of these, runs whose task had another open run that was ordered to start.
    std::uint64_t m_twoRuns = 0;
    /// Runs that ended without a report of their worker.
    std::map<RunEndProof, std::uint64_t> m_givenUp;

    RunCounts &operator+=(const RunCounts &other)
    {
        m_workerRestarts += other.m_workerRestarts;
        m_strayRuns += other.m_strayRuns;
        m_twoRuns += other.m_twoRuns;
        for (const auto &[proof, count] : other.m_givenUp) {
            m_givenUp[proof] += count;
        }
        return *this;
    }

    bool operator==(const RunCounts &) const = default;
};

}

#endif
