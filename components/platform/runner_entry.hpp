#ifndef COMPONENTS_PLATFORM_RUNNER_ENTRY_HPP
#define COMPONENTS_PLATFORM_RUNNER_ENTRY_HPP

#include "components/fleet/identifiers.hpp"
#include "components/http/address.hpp"

namespace platform
{

/// A runner as the platform's list shows it.
struct RunnerEntry
{
    fleet::RunnerId m_id;
    fleet::ZoneId m_zone;
    http::Address m_address;
    /// Maximum number of concurrent requests.
    int m_slots = 0;
    /// Maximum number of open connections.
    int m_connections = 0;
    bool m_leaving = false;

    bool operator==(const RunnerEntry &) const = default;
};

}

#endif
