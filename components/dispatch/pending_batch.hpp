#ifndef COMPONENTS_DISPATCH_PENDING_BATCH_HPP
#define COMPONENTS_DISPATCH_PENDING_BATCH_HPP

#include "components/fleet/identifiers.hpp"
#include "components/jobs/run_id.hpp"
#include "components/workers/life.hpp"

#include <cstdint>
#include <map>
#include <vector>

namespace dispatch
{

/// What may go on once a batch of records is stored.
struct PendingBatch
{
    std::uint64_t m_batch = 0;
    std::vector<jobs::RunId> m_launched;
    /// Highest number of an end that the batch holds, by the worker that listed it.
    std::map<workers::Life, std::uint64_t> m_ends;
};

}

#endif
