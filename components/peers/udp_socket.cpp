#include "components/peers/udp_socket.hpp"

#include "components/http/io_thread.hpp"

#include <boost/asio/ip/udp.hpp>
#include <boost/asio/post.hpp>

#include <array>
#include <atomic>
#include <utility>

namespace peers
{

namespace
{

using boost::asio::ip::udp;

/// Largest payload of a datagram over IPv4, in bytes.
constexpr std::size_t maxDatagram = 65'507;

udp::endpoint toEndpoint(const http::Address &address)
{
    return {boost::asio::ip::make_address(address.m_host), address.m_port};
}

}

struct UdpSocket::Core : public std::enable_shared_from_this<Core>
{
    Core(const http::Address &bind, Handler handler, boost::asio::io_context &context)
        : m_context(context)
        , m_socket(context, toEndpoint(bind))
        , m_handler(std::move(handler))
    {
    }

    void receive()
    {
        m_socket.async_receive_from(boost::asio::buffer(m_buffer), m_sender, [self = shared_from_this()](boost::system::error_code error, std::size_t size) {
            if (self->m_isClosed) {
                return;
            }
            std::string bytes(self->m_buffer.data(), error ? 0 : size);
            // Before the handler, which may throw: the next datagrams are received all the same.
            if (error != boost::asio::error::operation_aborted) {
                self->receive();
            }
            if (!error) {
                self->m_handler(std::move(bytes));
            }
        });
    }

    void send(const http::Address &target, const std::string &bytes)
    {
        boost::system::error_code error;
        const auto address = boost::asio::ip::make_address(target.m_host, error);
        if (!error) {
            m_socket.send_to(boost::asio::buffer(bytes), {address, target.m_port}, 0, error);
        }
        if (error) {
            ++m_failures;
        }
    }

    boost::asio::io_context &m_context;
    udp::socket m_socket;
    udp::endpoint m_sender;
    std::array<char, maxDatagram> m_buffer {};
    Handler m_handler;
    std::atomic<bool> m_isClosed {false};
    std::atomic<std::uint64_t> m_failures {0};
};

UdpSocket::UdpSocket(const http::Address &bind, Handler handler)
    : UdpSocket(bind, std::move(handler), std::make_shared<http::IoThread>())
{
}

UdpSocket::UdpSocket(const http::Address &bind, Handler handler, std::shared_ptr<http::IoThread> thread)
    : m_thread(std::move(thread))
    , m_core(std::make_shared<Core>(bind, std::move(handler), m_thread->context()))
{
    boost::asio::post(m_core->m_context, [core = m_core] {
        core->receive();
    });
}

UdpSocket::~UdpSocket()
{
    m_core->m_isClosed = true;
    boost::asio::post(m_core->m_context, [core = m_core] {
        boost::system::error_code ignored;
        core->m_socket.close(ignored);
    });
}

std::uint16_t UdpSocket::port() const
{
    return m_core->m_socket.local_endpoint().port();
}

void UdpSocket::send(const http::Address &target, std::string bytes)
{
    boost::asio::post(m_core->m_context, [core = m_core, target, bytes = std::move(bytes)] {
        core->send(target, bytes);
    });
}

std::uint64_t UdpSocket::sendFailures() const
{
    return m_core->m_failures;
}

}
