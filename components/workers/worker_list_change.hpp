#ifndef COMPONENTS_WORKERS_WORKER_LIST_CHANGE_HPP
#define COMPONENTS_WORKERS_WORKER_LIST_CHANGE_HPP

#include "components/fleet/identifiers.hpp"
#include "components/workers/registration.hpp"

#include <optional>

namespace workers
{

/// A worker's entry was written or removed. An entry without a usable worker counts as removed.
struct WorkerListChange
{
    fleet::WorkerId m_worker;
    std::optional<Registration> m_registration;

    bool operator==(const WorkerListChange &) const = default;
};

}

#endif
