#ifndef COMPONENTS_WORKERS_WORKER_INCARNATION_HPP
#define COMPONENTS_WORKERS_WORKER_INCARNATION_HPP

#include "components/fleet/identifiers.hpp"

#include <compare>
#include <cstdint>

namespace workers
{

/// One start of a worker. A worker that crashed may restart with the same id and without its earlier state.
struct WorkerIncarnation
{
    fleet::WorkerId m_worker;
    /// Start time in Unix milliseconds. Distinguishes incarnations with the same id.
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
