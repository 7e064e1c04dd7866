#include "components/standin/relay.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>

#include <algorithm>
#include <array>
#include <map>
#include <thread>

namespace standin
{

using boost::asio::ip::tcp;
using boost::asio::ip::udp;

namespace
{

using Error = boost::system::error_code;

/// Interval at which a cut connection checks whether the cut has ended.
constexpr fleet::Duration cutCheckInterval {10};
constexpr std::size_t chunkBytes = 65536;
constexpr int maxPortAttempts = 100;

/// Known callers and active faults of one route.
struct RouteState
{
    std::vector<std::string> m_callers;
    RelayFaults m_faults;

    std::string findCaller(std::string_view bytes) const
    {
        std::map<std::size_t, std::string> found;
        for (const auto &caller : m_callers) {
            found.emplace(bytes.find(caller), caller);
        }
        return found.empty() || found.begin()->first == std::string_view::npos ? std::string() : found.begin()->second;
    }

    bool isCut(bool forward, const std::string &caller) const
    {
        const auto &callers = forward ? m_faults.m_cutFrom : m_faults.m_cutTo;
        return (forward ? m_faults.m_cutForward : m_faults.m_cutBackward) || std::find(callers.begin(), callers.end(), caller) != callers.end();
    }
};

/// A forwarded TCP connection: the sockets to the caller and to the target.
struct Connection
{
    std::shared_ptr<const RouteState> m_state;
    tcp::socket m_caller;
    tcp::socket m_target;
    std::string m_name;
};

/// Forwards the bytes of one direction of a connection.
struct OneWayForwarder : public std::enable_shared_from_this<OneWayForwarder>
{
    std::shared_ptr<Connection> m_connection;
    bool m_forward;
    tcp::socket &m_from = m_forward ? m_connection->m_caller : m_connection->m_target;
    tcp::socket &m_to = m_forward ? m_connection->m_target : m_connection->m_caller;
    boost::asio::steady_timer m_timer {m_from.get_executor()};
    std::array<char, chunkBytes> m_bytes {};

    OneWayForwarder(std::shared_ptr<Connection> connection, bool forward)
        : m_connection(std::move(connection))
        , m_forward(forward)
    {
    }

    void read()
    {
        m_from.async_read_some(boost::asio::buffer(m_bytes), [self = shared_from_this()](const Error &error, std::size_t count) {
            auto &connection = *self->m_connection;
            if (connection.m_name.empty()) {
                connection.m_name = connection.m_state->findCaller({self->m_bytes.data(), count});
            }
            self->wait(connection.m_state->m_faults.m_delay, error ? 0 : count);
        });
    }

    void wait(fleet::Duration time, std::size_t count)
    {
        m_timer.expires_after(time);
        m_timer.async_wait([self = shared_from_this(), count](const Error &) {
            if (self->m_connection->m_state->isCut(self->m_forward, self->m_connection->m_name)) {
                self->wait(cutCheckInterval, count);
            } else {
                self->write(count);
            }
        });
    }

    void write(std::size_t count)
    {
        Error closed;
        if (count == 0) {
            m_to.shutdown(tcp::socket::shutdown_send, closed);
            return;
        }
        boost::asio::async_write(m_to, boost::asio::buffer(m_bytes, count), [self = shared_from_this()](const Error &error, std::size_t) {
            if (!error) {
                self->read();
            } else {
                self->m_from.close();
            }
        });
    }
};

/// A port of the relay and the target that its traffic is forwarded to.
class Route : public std::enable_shared_from_this<Route>
{
public:
    std::shared_ptr<RouteState> m_state;

    Route(boost::asio::io_context &io, const std::string &host, const http::Address &target, std::uint32_t seed, RouteState state)
        : m_state(std::make_shared<RouteState>(std::move(state)))
        , m_io(io)
        , m_host(boost::asio::ip::make_address(target.m_host))
        , m_port(target.m_port)
        , m_random(seed)
    {
        // TCP and UDP use the same port number: bind TCP to any free port and try that number for UDP.
        Error error = boost::asio::error::address_in_use;
        for (int i = 0; error && i < maxPortAttempts; ++i) {
            m_acceptor = tcp::acceptor(m_io, {boost::asio::ip::make_address(host), 0});
            m_udpSocket = udp::socket(m_io, udp::v4());
            m_udpSocket.bind({boost::asio::ip::make_address(host), port()}, error);
        }
    }

    std::uint16_t port() const
    {
        return m_acceptor.local_endpoint().port();
    }

    void accept()
    {
        m_acceptor.async_accept([self = shared_from_this()](const Error &error, tcp::socket caller) {
            if (!error) {
                self->connect(std::move(caller));
                self->accept();
            }
        });
    }

    void receive()
    {
        m_udpSocket.async_receive(boost::asio::buffer(m_bytes), [self = shared_from_this()](const Error &error, std::size_t count) {
            const std::string datagram(self->m_bytes.data(), error ? 0 : count);
            for (int copies = self->drawCopyCount(datagram); copies > 0; --copies) {
                self->forward(datagram);
            }
            self->receive();
        });
    }

private:
    void connect(tcp::socket caller)
    {
        const auto connection = std::make_shared<Connection>(Connection {m_state, std::move(caller), tcp::socket(m_io), {}});
        connection->m_target.async_connect({m_host, m_port}, [connection](const Error &error) {
            if (!error) {
                std::make_shared<OneWayForwarder>(connection, true)->read();
                std::make_shared<OneWayForwarder>(connection, false)->read();
            }
        });
    }

    std::int64_t draw(std::int64_t max)
    {
        return boost::random::uniform_int_distribution<std::int64_t>(0, max)(m_random);
    }

    int drawCopyCount(const std::string &datagram)
    {
        const bool dropped = draw(99) < m_state->m_faults.m_dropPercent;
        const bool duplicated = draw(99) < m_state->m_faults.m_duplicatePercent;
        return dropped || m_state->isCut(true, m_state->findCaller(datagram)) ? 0 : 1 + (duplicated ? 1 : 0);
    }

    void forward(const std::string &datagram)
    {
        const auto delay = m_state->m_faults.m_delay + fleet::Duration(draw(m_state->m_faults.m_jitter.count()));
        const auto timer = std::make_shared<boost::asio::steady_timer>(m_io, delay);
        timer->async_wait([timer, datagram, self = shared_from_this()](const Error &) {
            Error ignored;
            self->m_udpSocket.send_to(boost::asio::buffer(datagram), {self->m_host, self->m_port}, 0, ignored);
        });
    }

    boost::asio::io_context &m_io;
    boost::asio::ip::address m_host;
    std::uint16_t m_port;
    boost::random::mt19937 m_random;
    tcp::acceptor m_acceptor {m_io};
    udp::socket m_udpSocket {m_io};
    std::array<char, chunkBytes> m_bytes {};
};

}

struct Relay::Impl
{
    std::uint32_t m_seed;
    boost::asio::io_context m_io {1};
    std::map<std::string, std::shared_ptr<Route>> m_routes;
    std::jthread m_thread;
};

Relay::Relay(std::uint32_t seed)
    : m_impl(std::make_unique<Impl>())
{
    m_impl->m_seed = seed;
}

Relay::~Relay()
{
    m_impl->m_io.stop();
}

http::Address Relay::add(const std::string &name, const std::string &host, const http::Address &target, std::vector<std::string> callers)
{
    const auto route = std::make_shared<Route>(m_impl->m_io, host, target, m_impl->m_seed++, RouteState {std::move(callers), {}});
    m_impl->m_routes[name] = route;
    boost::asio::post(m_impl->m_io, [route] {
        route->accept();
        route->receive();
    });
    if (!m_impl->m_thread.joinable()) {
        m_impl->m_thread = std::jthread([&io = m_impl->m_io] {
            io.run();
        });
    }
    return {host, route->port()};
}

bool Relay::setFaults(const std::string &name, const RelayFaults &faults)
{
    const auto found = m_impl->m_routes.find(name);
    if (found == m_impl->m_routes.end()) {
        return false;
    }
    boost::asio::post(m_impl->m_io, [route = found->second, faults] {
        route->m_state->m_faults = faults;
    });
    return true;
}

}
