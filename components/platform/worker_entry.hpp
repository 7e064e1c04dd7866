#ifndef COMPONENTS_PLATFORM_WORKER_ENTRY_HPP
#define COMPONENTS_PLATFORM_WORKER_ENTRY_HPP

#include "components/fleet/worker_info.hpp"
#include "components/http/address.hpp"

namespace platform
{

/// A worker as the platform's list shows it.
struct WorkerEntry
{
    fleet::WorkerInfo m_info;
    http::Address m_address;
    bool m_leaving = false;

    bool operator==(const WorkerEntry &) const = default;
};

}

#endif
