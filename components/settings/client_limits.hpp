#ifndef COMPONENTS_SETTINGS_CLIENT_LIMITS_HPP
#define COMPONENTS_SETTINGS_CLIENT_LIMITS_HPP

#include "components/fleet/time.hpp"

#include <cstdint>

namespace settings
{

/// What clients may make an instance hold. No client inside the published limits reaches the defaults.
struct ClientLimits
{
    /// Bytes that all connections may hold together in buffers, unfinished requests and unwritten responses. The default is an eighth of the
    /// smallest machine (120 MB): most of the memory belongs to the state of the jobs.
    std::int64_t m_heldBytes = std::int64_t {15} << 20;
    /// Connections of all kinds. The default is three fifths of the smallest machine's 3,075 descriptors without the 200 for files; the
    /// others are for the calls to the store and to 550 workers.
    std::int64_t m_connections = 1725;
    /// Bytes. Larger than `limits.max_body_bytes` of any catalog in use, which the callers' requests are checked against afterwards.
    std::int64_t m_maxBody = std::int64_t {1} << 20;
    /// Bytes of a header section, of a chunk header and of trailers.
    std::int64_t m_maxHeader = 16'384;
    std::int64_t m_maxHeaderLines = 200;
    /// Time limit from the first byte of a request to the end of its header.
    fleet::Duration m_headerTimeout {3000};
    /// Time limit for a body, and until it has to have the least rate.
    fleet::Duration m_bodyTimeout {30'000};
    fleet::Duration m_bodyGrace {10'000};
    /// Bytes per second.
    std::int64_t m_bodyRate = 8192;
    /// Time limit for a client to read a response.
    fleet::Duration m_writeTimeout {30'000};
    /// How long a connection without a request stays open.
    fleet::Duration m_idleTimeout {60'000};

    bool operator==(const ClientLimits &) const = default;
};

/// Connections and bytes that are reserved for readiness and for metrics. A response with metrics has some tens of kilobytes.
constexpr std::int64_t reservedConnections = 64;
constexpr std::int64_t reservedReadinessBytes = std::int64_t {1} << 20;
constexpr std::int64_t reservedMetricsBytes = std::int64_t {2} << 20;

}

#endif
