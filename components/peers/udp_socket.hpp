#ifndef COMPONENTS_PEERS_UDP_SOCKET_HPP
#define COMPONENTS_PEERS_UDP_SOCKET_HPP

#include "components/http/address.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace http
{
class IoThread;
}

namespace peers
{

/// A UDP socket.
class UdpSocket
{
public:
    /// Called on the socket's thread for each datagram. It must not block or throw.
    using Handler = std::function<void(std::string)>;

    /// Binds and receives at once. Port 0 takes a free port from the kernel.
    /// @throws boost::system::system_error where the address cannot be bound.
    UdpSocket(const http::Address &bind, Handler handler);
    /// On a thread shared with other sockets.
    UdpSocket(const http::Address &bind, Handler handler, std::shared_ptr<http::IoThread> thread);
    ~UdpSocket();

    UdpSocket(const UdpSocket &) = delete;
    UdpSocket &operator=(const UdpSocket &) = delete;

    std::uint16_t port() const;

    /// Sends one datagram; it may be lost. Safe from any thread.
    void send(const http::Address &target, std::string bytes);

    /// Datagrams that could not be sent.
    std::uint64_t sendFailures() const;

private:
    struct Core;
    std::shared_ptr<http::IoThread> m_thread;
    std::shared_ptr<Core> m_core;
};

}

#endif
