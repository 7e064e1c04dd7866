#include "components/http/raw_socket_test.hpp"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace http
{

namespace
{

sockaddr_in loopback(std::uint16_t port)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

}

RawSocket::RawSocket(int descriptor)
    : m_descriptor(descriptor)
{
}

RawSocket::RawSocket(RawSocket &&other) noexcept
    : m_descriptor(std::exchange(other.m_descriptor, -1))
{
}

RawSocket::~RawSocket()
{
    close();
}

RawSocket RawSocket::listen()
{
    RawSocket socket(::socket(AF_INET, SOCK_STREAM, 0));
    const auto address = loopback(0);
    ::bind(socket.m_descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof address);
    ::listen(socket.m_descriptor, SOMAXCONN);
    return socket;
}

RawSocket RawSocket::connect(std::uint16_t port)
{
    RawSocket socket(::socket(AF_INET, SOCK_STREAM, 0));
    const auto address = loopback(port);
    ::connect(socket.m_descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof address);
    return socket;
}

std::uint16_t RawSocket::port() const
{
    sockaddr_in address {};
    socklen_t length = sizeof address;
    ::getsockname(m_descriptor, reinterpret_cast<sockaddr *>(&address), &length);
    return ntohs(address.sin_port);
}

RawSocket RawSocket::accept() const
{
    return RawSocket(::accept(m_descriptor, nullptr, nullptr));
}

void RawSocket::send(const std::string &bytes) const
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const auto count = ::send(m_descriptor, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0) {
            return;
        }
        sent += static_cast<std::size_t>(count);
    }
}

std::string RawSocket::readUntil(const std::string &end) const
{
    std::string bytes;
    char byte = 0;
    while (!bytes.ends_with(end) && ::recv(m_descriptor, &byte, 1, 0) == 1) {
        bytes += byte;
    }
    return bytes;
}

std::string RawSocket::readToClose() const
{
    std::string bytes;
    char byte = 0;
    while (::recv(m_descriptor, &byte, 1, 0) == 1) {
        bytes += byte;
    }
    return bytes;
}

void RawSocket::close()
{
    if (m_descriptor >= 0) {
        ::close(std::exchange(m_descriptor, -1));
    }
}

}
