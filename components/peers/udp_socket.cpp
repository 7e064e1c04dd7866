#include "components/peers/udp_socket.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/post.hpp>

#include <array>
#include <atomic>
#include <thread>
#include <utility>

namespace peers
{

namespace
{

using boost::asio::ip::udp;

/// Bytes; the largest payload of a datagram over IPv4.
constexpr std::size_t maxDatagram = 65'507;

udp::endpoint toEndpoint(const http::Address &address)
{
    return {boost::asio::ip::make_address(address.m_host), address.m_port};
}

}

struct UdpSocket::Core
{
    Core(const http::Address &bind, Handler handler)
        : m_socket(m_context, toEndpoint(bind))
        , m_handler(std::move(handler))
    {
        receive();
        m_thread = std::thread([this] {
            m_context.run();
        });
    }

    ~Core()
    {
        m_context.stop();
        m_thread.join();
    }

    void receive()
    {
        m_socket.async_receive_from(boost::asio::buffer(m_buffer), m_sender, [this](boost::system::error_code error, std::size_t size) {
            if (!error) {
                m_handler(std::string(m_buffer.data(), size));
            }
            if (error != boost::asio::error::operation_aborted) {
                receive();
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

    boost::asio::io_context m_context;
    udp::socket m_socket;
    udp::endpoint m_sender;
    std::array<char, maxDatagram> m_buffer {};
    Handler m_handler;
    std::atomic<std::uint64_t> m_failures {0};
    std::thread m_thread;
};

UdpSocket::UdpSocket(const http::Address &bind, Handler handler)
    : m_core(std::make_unique<Core>(bind, std::move(handler)))
{
}

UdpSocket::~UdpSocket() = default;

std::uint16_t UdpSocket::port() const
{
    return m_core->m_socket.local_endpoint().port();
}

void UdpSocket::send(const http::Address &target, std::string bytes)
{
    boost::asio::post(m_core->m_context, [core = m_core.get(), target, bytes = std::move(bytes)] {
        core->send(target, bytes);
    });
}

std::uint64_t UdpSocket::sendFailures() const
{
    return m_core->m_failures;
}

}
