#ifndef COMPONENTS_HTTP_SERVER_SETTINGS_HPP
#define COMPONENTS_HTTP_SERVER_SETTINGS_HPP

#include "components/fleet/time.hpp"
#include "components/http/address.hpp"

#include <cstddef>

namespace http
{

/// Address and limits of a server.
struct ServerSettings
{
    /// With port 0 the kernel picks a free port.
    Address m_bind {"127.0.0.1", 0};
    int m_threads = 1;
    /// Bytes.
    std::size_t m_headerLimit = 16UL * 1024;
    /// Bytes.
    std::size_t m_bodyLimit = 1024UL * 1024;
    /// Maximum number of open connections. Further ones are closed as soon as they are accepted.
    std::size_t m_connectionLimit = 4096;
    /// How long a connection without a request stays open.
    fleet::Duration m_idleTimeout {60'000};
    /// Time limit from the first byte of a request to the end of its header.
    fleet::Duration m_headerTimeout {10'000};
    /// Time limit from the end of the header to the end of the body, and for writing a response.
    fleet::Duration m_bodyTimeout {30'000};
    /// How long a connection without a request stays open after a stop began, for requests that the peer has already sent.
    fleet::Duration m_stopLinger {500};
};

}

#endif
