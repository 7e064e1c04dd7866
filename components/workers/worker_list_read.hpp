#ifndef COMPONENTS_WORKERS_WORKER_LIST_READ_HPP
#define COMPONENTS_WORKERS_WORKER_LIST_READ_HPP

#include "components/store/read_outcome.hpp"
#include "components/workers/worker_list_change.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace workers
{

/// What a read of the platform's list of workers gave.
struct WorkerListRead
{
    store::ReadOutcome m_outcome = store::ReadOutcome::NoAnswer;
    /// The whole list, rather than what changed since an offset.
    bool m_isFullRead = false;
    std::vector<WorkerListChange> m_changes;
    /// Where to read on.
    std::uint64_t m_next = 0;
    std::string m_reason;

    bool operator==(const WorkerListRead &) const = default;
};

}

#endif
