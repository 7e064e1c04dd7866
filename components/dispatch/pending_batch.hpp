#ifndef COMPONENTS_DISPATCH_PENDING_BATCH_HPP
#define COMPONENTS_DISPATCH_PENDING_BATCH_HPP

#include "components/fleet/identifiers.hpp"
#include "components/jobs/run_id.hpp"
#include "components/journal/upkeep_ordered.hpp"
#include "components/workers/worker_incarnation.hpp"

#include <cstdint>
#include <map>
#include <vector>

namespace dispatch
{

/// Runs, ends and upkeep orders that wait for a batch of records to be stored.
struct PendingBatch
{
    std::uint64_t m_batch = 0;
    std::vector<jobs::RunId> m_launched;
    std::vector<journal::UpkeepOrdered> m_upkeeps;
    /// Highest number of an end in the batch, by the worker that reported it.
    std::map<workers::WorkerIncarnation, std::uint64_t> m_ends;
};

}

#endif
