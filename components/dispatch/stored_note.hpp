#ifndef COMPONENTS_DISPATCH_STORED_NOTE_HPP
#define COMPONENTS_DISPATCH_STORED_NOTE_HPP

#include "components/fleet/identifiers.hpp"
#include "components/jobs/run_id.hpp"
#include "components/workers/worker_incarnation.hpp"

#include <cstdint>
#include <map>
#include <vector>

namespace dispatch
{

/// What may go on once a batch of records is stored.
struct StoredNote
{
    std::uint64_t m_batch = 0;
    std::vector<jobs::RunId> m_launched;
    /// Highest number of an end that the batch holds, by the worker that listed it.
    std::map<workers::WorkerIncarnation, std::uint64_t> m_ends;
};

}

#endif
