#ifndef COMPONENTS_HTTP_SERVER_SETTINGS_HPP
#define COMPONENTS_HTTP_SERVER_SETTINGS_HPP

#include "components/fleet/time.hpp"
#include "components/http/address.hpp"
#include "components/http/client_kind.hpp"

#include <cstddef>
#include <memory>

namespace http
{

class ClientBudget;

/// Address and limits of a server.
struct ServerSettings
{
    /// With port 0 the kernel picks a free port.
    Address m_bind {"127.0.0.1", 0};
    int m_threads = 1;
    /// Bytes of the header section, and of what surrounds the data of a chunked body: one chunk-size line with its extensions, and the trailers.
    std::size_t m_headerLimit = 16UL * 1024;
    /// Lines of the header section, and of the trailers. Each takes about ten times its shortest text in memory.
    std::size_t m_headerLineLimit = 200;
    /// Bytes.
    std::size_t m_bodyLimit = 1024UL * 1024;
    /// Maximum number of open connections of a server without a budget. Beyond it, the connection used least is closed.
    std::size_t m_connectionLimit = 4096;
    /// How long a connection without a request stays open.
    fleet::Duration m_idleTimeout {60'000};
    /// Time limit from the first byte of a request to the end of its header.
    fleet::Duration m_headerTimeout {10'000};
    /// Time limit from the end of the header to the end of the body.
    fleet::Duration m_bodyTimeout {30'000};
    /// A body must arrive at m_bodyRate at least, after this time.
    fleet::Duration m_bodyGrace {30'000};
    /// Bytes per second.
    std::size_t m_bodyRate = 8192;
    /// Time limit for writing a response; the peer may have stopped reading.
    fleet::Duration m_writeTimeout {30'000};
    /// How long a connection without a request stays open after a stop began, for requests that the peer has already sent.
    fleet::Duration m_stopLinger {500};
    ClientKind m_clientKind = ClientKind::Caller;
    /// Shared by the servers of a process. If there is none, the server limits its connections to m_connectionLimit only.
    std::shared_ptr<ClientBudget> m_budget;
};

}

#endif
