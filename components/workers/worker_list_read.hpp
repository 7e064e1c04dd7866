#ifndef COMPONENTS_WORKERS_WORKER_LIST_READ_HPP
#define COMPONENTS_WORKERS_WORKER_LIST_READ_HPP

#include "components/store/read_outcome.hpp"
#include "components/workers/worker_list_change.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace workers
{

/// Result of a read of the platform's list of workers.
struct WorkerListRead
{
    store::ReadOutcome m_outcome = store::ReadOutcome::NoAnswer;
    /// True if m_changes holds the whole list, false if only the changes since an offset.
    bool m_isFullRead = false;
    std::vector<WorkerListChange> m_changes;
    /// Offset for the next read.
    std::uint64_t m_next = 0;
    /// End of the topic when the read, or its last page, was answered.
    std::uint64_t m_end = 0;
    std::string m_reason;

    bool operator==(const WorkerListRead &) const = default;
};

}

#endif
