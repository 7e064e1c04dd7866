#ifndef COMPONENTS_HTTP_CLIENT_SETTINGS_HPP
#define COMPONENTS_HTTP_CLIENT_SETTINGS_HPP

#include "components/fleet/time.hpp"

#include <cstddef>

namespace http
{

/// Limits of a client.
struct ClientSettings
{
    /// Maximum number of connections to one address. Further requests wait for a free one, up to their timeout.
    std::size_t m_connectionsPerAddress = 32;
    /// Maximum number of requests that wait for a connection to one address. Further ones end with NotSent at once.
    std::size_t m_waitingPerAddress = 4096;
    /// How long an idle connection is kept, and reused for idempotent methods.
    fleet::Duration m_idleLimit {20'000};
    /// How long an idle connection is reused for a POST. The peer may have closed an older one, which would leave
    /// the outcome of the POST unknown.
    fleet::Duration m_postIdleLimit {2'000};
    /// TCP_USER_TIMEOUT: the kernel closes a connection if sent bytes stay unacknowledged for this long. 0 keeps the kernel's default.
    fleet::Duration m_unacknowledgedLimit {0};
    /// Bytes.
    std::size_t m_headerLimit = 16UL * 1024;
    /// Bytes.
    std::size_t m_bodyLimit = 64UL * 1024 * 1024;
};

}

#endif
