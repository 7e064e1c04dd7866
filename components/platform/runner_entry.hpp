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
    /// Requests that it runs at once.
    int m_slots = 0;
    /// Connections that it accepts at once.
    int m_connections = 0;
    bool m_leaving = false;

    bool operator==(const RunnerEntry &) const = default;
};

}

#endif
