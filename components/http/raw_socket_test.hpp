#ifndef COMPONENTS_HTTP_RAW_SOCKET_TEST_HPP
#define COMPONENTS_HTTP_RAW_SOCKET_TEST_HPP

#include <cstdint>
#include <string>

namespace http
{

/// A blocking loopback TCP socket that sends and receives raw bytes, for tests with misbehaving and slow peers.
class RawSocket
{
public:
    /// Listens on a free port of 127.0.0.1.
    static RawSocket listen();
    static RawSocket connect(std::uint16_t port);

    RawSocket(RawSocket &&other) noexcept;
    RawSocket(const RawSocket &) = delete;
    RawSocket &operator=(const RawSocket &) = delete;
    ~RawSocket();

    std::uint16_t port() const;
    RawSocket accept() const;
    void send(const std::string &bytes) const;
    /// Reads until the bytes end with `end` or the peer closes the connection.
    std::string readUntil(const std::string &end) const;
    std::string readToClose() const;
    void close();

private:
    explicit RawSocket(int descriptor);

    int m_descriptor;
};

}

#endif
