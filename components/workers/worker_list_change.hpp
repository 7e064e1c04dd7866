#ifndef COMPONENTS_WORKERS_WORKER_LIST_CHANGE_HPP
#define COMPONENTS_WORKERS_WORKER_LIST_CHANGE_HPP

#include "components/fleet/identifiers.hpp"
#include "components/workers/registration.hpp"

#include <optional>
#include <string>

namespace workers
{

/// A worker's entry was written or removed. An entry without a usable worker counts as removed.
struct WorkerListChange
{
    fleet::WorkerId m_worker;
    std::optional<Registration> m_registration;
    /// Why an entry that was written names no usable worker; empty if it does, or was removed.
    std::string m_refusal;

    bool operator==(const WorkerListChange &) const = default;
};

}

#endif
