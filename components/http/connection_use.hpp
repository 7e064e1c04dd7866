#ifndef COMPONENTS_HTTP_CONNECTION_USE_HPP
#define COMPONENTS_HTTP_CONNECTION_USE_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace http
{

using SteadyTime = std::chrono::steady_clock::time_point;

/// What the server of a connection does at present.
enum class ConnectionPhase {
    /// Waits for the first byte of a request.
    Idle,
    /// Reads a request.
    Reading,
    /// The handler has the request. Closing the connection would free nothing, and the request may have run.
    Handling,
    /// Writes a response.
    Writing,
};

/// What one connection holds, and how it progresses.
struct ConnectionUse
{
    /// Numbers increase in the order in which connections were opened.
    std::uint64_t m_number = 0;
    ConnectionPhase m_phase = ConnectionPhase::Idle;
    /// Bytes of buffers, request and response.
    std::size_t m_heldBytes = 0;
    /// True once a response has been written.
    bool m_isServed = false;
    /// When bytes were last received or written, or the connection was opened.
    SteadyTime m_progressedAt;

    bool operator==(const ConnectionUse &) const = default;
};

}

#endif
