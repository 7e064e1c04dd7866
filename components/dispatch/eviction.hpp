#ifndef COMPONENTS_DISPATCH_EVICTION_HPP
#define COMPONENTS_DISPATCH_EVICTION_HPP

#include "components/dispatch/available_worker.hpp"
#include "components/jobs/run_id.hpp"

#include <cstdint>
#include <vector>

namespace dispatch
{

/// Runs to stop on one worker, and the capacity that this frees.
struct Eviction
{
    AvailableWorker *m_worker = nullptr;
    std::vector<jobs::RunId> m_victims;
    /// Number of tasks of the candidate that fit afterwards.
    std::uint32_t m_slots = 0;
    /// Lost work, in core-milliseconds.
    std::int64_t m_loss = 0;
};

}

#endif
