#ifndef COMPONENTS_HTTP_CLIENT_SETTINGS_HPP
#define COMPONENTS_HTTP_CLIENT_SETTINGS_HPP

#include "components/fleet/time.hpp"

#include <cstddef>

namespace http
{

/// Limits of one client.
struct ClientSettings
{
    /// Connections to one address at once; further requests wait for one, within their own timeout.
    std::size_t m_connectionsPerAddress = 32;
    /// Requests that may wait for a connection to one address; above it they end as not sent at once.
    std::size_t m_waitingPerAddress = 4096;
    /// An idle connection is kept this long for idempotent methods.
    fleet::Duration m_idleLimit {20'000};
    /// An idle connection is used for a POST only within this time; an older one may have been closed by the peer.
    fleet::Duration m_postIdleLimit {2'000};
    /// The kernel closes a connection whose sent bytes stay unacknowledged for this long. 0 leaves the kernel's default.
    fleet::Duration m_unacknowledgedLimit {0};
    /// Bytes.
    std::size_t m_headerLimit = 16UL * 1024;
    /// Bytes.
    std::size_t m_bodyLimit = 64UL * 1024 * 1024;
};

}

#endif
