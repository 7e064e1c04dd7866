#ifndef COMPONENTS_HTTP_SERVER_CORE_HPP
#define COMPONENTS_HTTP_SERVER_CORE_HPP

#include "components/http/server.hpp"
#include "components/http/server_gate.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>

#include <atomic>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <set>

namespace http
{

class ClientBudget;
class ServerSession;

/// Listening socket and open connections of a server. Includes Asio headers; only for use in the server's own sources.
class ServerCore : public std::enable_shared_from_this<ServerCore>
{
public:
    ServerCore(const ServerSettings &settings, Server::Handler handler, boost::asio::io_context &io);
    ~ServerCore();

    ServerCore(const ServerCore &) = delete;
    ServerCore &operator=(const ServerCore &) = delete;

    void start();
    void beginStop();
    bool stop(fleet::Duration limit);

    std::uint16_t port() const;
    std::size_t openConnections() const;
    std::size_t inFlight() const;
    bool stopping() const;
    bool isDrained() const;
    const ServerSettings &settings() const;
    ClientBudget &budget();

    /// Passes a request to the handler and counts it as in flight.
    void handle(Request request, const Responder &responder);
    /// Called when the response to a request in flight was written or its connection was closed.
    void onRequestFinished();
    /// Called when a session has ended.
    void removeSession(const std::shared_ptr<ServerSession> &session);
    /// Closed when the server is terminated. Its threads still run while an action runs at the gate, which may post to them.
    const std::shared_ptr<ServerGate> &gate() const;

private:
    void accept();
    void onAccepted(const boost::system::error_code &error, boost::asio::ip::tcp::socket socket);
    void scheduleAcceptRetry();
    void closeListener();
    void tryAddSession(boost::asio::ip::tcp::socket socket);
    void addSession(boost::asio::ip::tcp::socket socket);
    void terminate();

    ServerSettings m_settings;
    Server::Handler m_handler;
    boost::asio::io_context &m_io;
    boost::asio::strand<boost::asio::io_context::executor_type> m_acceptStrand;
    boost::asio::ip::tcp::acceptor m_acceptor;
    boost::asio::steady_timer m_acceptRetry;
    std::uint16_t m_port = 0;
    std::atomic<bool> m_stopping {false};
    std::atomic<std::size_t> m_inFlight {0};
    mutable std::mutex m_mutex;
    /// Notified when the last session ends and when the listening socket is closed.
    std::condition_variable m_drainedCondition;
    std::set<std::shared_ptr<ServerSession>> m_sessions;
    std::shared_ptr<ServerGate> m_gate = std::make_shared<ServerGate>();
    bool m_listenerClosed = false;
    bool m_terminated = false;
};

}

#endif
