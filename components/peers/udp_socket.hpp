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

/// A UDP socket that sends and receives on an I/O thread.
class UdpSocket
{
public:
    /// Called on the socket's thread for each datagram. It must not block or throw.
    using Handler = std::function<void(std::string)>;

    /// Binds the socket and begins to receive. With port 0 the kernel chooses a free port.
    /// @throws boost::system::system_error if the address cannot be bound.
    UdpSocket(const http::Address &bind, Handler handler);
    /// The same on a thread that is shared with other sockets.
    UdpSocket(const http::Address &bind, Handler handler, std::shared_ptr<http::IoThread> thread);
    ~UdpSocket();

    UdpSocket(const UdpSocket &) = delete;
    UdpSocket &operator=(const UdpSocket &) = delete;

    std::uint16_t port() const;

    /// Sends one datagram; it may be lost. Safe from any thread.
    void send(const http::Address &target, std::string bytes);

    /// Returns the number of datagrams that could not be sent.
    std::uint64_t sendFailures() const;

private:
    struct Core;
    std::shared_ptr<http::IoThread> m_thread;
    std::shared_ptr<Core> m_core;
};

}

#endif
