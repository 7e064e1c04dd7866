#ifndef COMPONENTS_WORKERS_WORKER_INCARNATION_HPP
#define COMPONENTS_WORKERS_WORKER_INCARNATION_HPP

#include "components/fleet/identifiers.hpp"

#include <compare>
#include <cstdint>

namespace workers
{

/// One life of a worker. A worker that crashed may come back under the same id and then knows nothing of before.
struct WorkerIncarnation
{
    fleet::WorkerId m_worker;
    /// When the life began, in Unix milliseconds; it tells lives of one id apart.
    std::int64_t m_startedAtMs = 0;

    auto operator<=>(const WorkerIncarnation &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(m_worker, m_startedAtMs);
    }
};

}

#endif
