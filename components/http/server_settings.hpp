#ifndef COMPONENTS_HTTP_SERVER_SETTINGS_HPP
#define COMPONENTS_HTTP_SERVER_SETTINGS_HPP

#include "components/fleet/time.hpp"
#include "components/http/address.hpp"

#include <cstddef>

namespace http
{

/// Limits of one server.
struct ServerSettings
{
    /// Port 0 takes a free port from the kernel.
    Address m_bind {"127.0.0.1", 0};
    int m_threads = 1;
    /// Bytes.
    std::size_t m_headerLimit = 16UL * 1024;
    /// Bytes.
    std::size_t m_bodyLimit = 1024UL * 1024;
    /// Connections above this number are closed as soon as they are accepted.
    std::size_t m_connectionLimit = 4096;
    /// A connection with no request is closed after this long.
    fleet::Duration m_idleTimeout {60'000};
    /// From a request's first byte to the end of its header.
    fleet::Duration m_headerTimeout {10'000};
    /// From the end of the header to the end of the body, and for writing one answer.
    fleet::Duration m_bodyTimeout {30'000};
    /// A connection without a request stays open this long after a stop began, for requests already under way.
    fleet::Duration m_stopLinger {500};
};

}

#endif
