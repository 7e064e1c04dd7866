#ifndef COMPONENTS_HTTP_CLIENT_CONNECTION_HPP
#define COMPONENTS_HTTP_CLIENT_CONNECTION_HPP

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include <chrono>

namespace http
{

/// A TCP connection of a client. Includes Asio headers; only for use in the client's own sources.
struct ClientConnection
{
    explicit ClientConnection(boost::asio::io_context &io)
        : m_socket(io)
    {
    }

    boost::asio::ip::tcp::socket m_socket;
    /// Bytes received after the end of the last response.
    boost::beast::flat_buffer m_buffer;
    std::chrono::steady_clock::time_point m_idleSince;
};

/// True if the peer has neither closed the idle connection nor sent anything on it, so that another request can use it.
bool isReusable(ClientConnection &connection);

}

#endif
