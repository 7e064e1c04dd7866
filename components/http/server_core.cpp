#include "components/http/server_core.hpp"

#include "components/http/client_budget.hpp"
#include "components/http/error_response.hpp"
#include "components/http/server_error.hpp"
#include "components/http/server_session.hpp"

#include <boost/asio/ip/address.hpp>
#include <boost/asio/post.hpp>

#include <exception>
#include <limits>
#include <utility>

namespace http
{

using boost::asio::ip::tcp;

namespace
{

/// Delay before accepting again after an error, such as when there are no free file descriptors.
constexpr std::chrono::milliseconds acceptRetryInterval {100};

/// A budget of one server, for a process that has set none.
std::shared_ptr<ClientBudget> makeOwnBudget(const ServerSettings &settings)
{
    ClientBudgetSettings budget;
    budget.m_shares[static_cast<std::size_t>(settings.m_clientKind)] = {std::numeric_limits<std::size_t>::max(), settings.m_connectionLimit};
    return std::make_shared<ClientBudget>(budget);
}

}

ServerCore::ServerCore(const ServerSettings &settings, Server::Handler handler, boost::asio::io_context &io)
    : m_settings(settings)
    , m_handler(std::move(handler))
    , m_io(io)
    , m_acceptStrand(m_io.get_executor())
    , m_acceptor(m_acceptStrand)
    , m_acceptRetry(m_acceptStrand)
{
    if (!m_settings.m_budget) {
        m_settings.m_budget = makeOwnBudget(m_settings);
    }
    try {
        const tcp::endpoint endpoint(boost::asio::ip::make_address(m_settings.m_bind.m_host), m_settings.m_bind.m_port);
        m_acceptor.open(endpoint.protocol());
        m_acceptor.set_option(tcp::acceptor::reuse_address(true));
        m_acceptor.bind(endpoint);
        m_acceptor.listen();
        m_port = m_acceptor.local_endpoint().port();
    } catch (const boost::system::system_error &error) {
        throw ServerError("cannot listen on " + toString(m_settings.m_bind) + " (" + error.code().message() + "); set a free address and port");
    }
}

ServerCore::~ServerCore() = default;

void ServerCore::start()
{
    boost::asio::post(m_acceptStrand, [self = shared_from_this()] {
        self->accept();
    });
}

void ServerCore::beginStop()
{
    if (m_stopping.exchange(true)) {
        return;
    }
    boost::asio::post(m_acceptStrand, [self = shared_from_this()] {
        self->closeListener();
    });
}

bool ServerCore::stop(fleet::Duration limit)
{
    beginStop();
    bool isDrained = false;
    {
        std::unique_lock lock(m_mutex);
        isDrained = m_drainedCondition.wait_for(lock, limit, [this] {
            return m_listenerClosed && m_sessions.empty();
        });
    }
    terminate();
    return isDrained;
}

std::uint16_t ServerCore::port() const
{
    return m_port;
}

std::size_t ServerCore::openConnections() const
{
    const std::lock_guard lock(m_mutex);
    return m_sessions.size();
}

std::size_t ServerCore::inFlight() const
{
    return m_inFlight.load();
}

bool ServerCore::stopping() const
{
    return m_stopping.load();
}

bool ServerCore::isDrained() const
{
    const std::lock_guard lock(m_mutex);
    return m_listenerClosed && m_sessions.empty();
}

const ServerSettings &ServerCore::settings() const
{
    return m_settings;
}

ClientBudget &ServerCore::budget()
{
    return *m_settings.m_budget;
}

void ServerCore::handle(Request request, const Responder &responder)
{
    ++m_inFlight;
    try {
        m_handler(std::move(request), responder);
    } catch (const std::exception &) {
        responder(errorResponse(500, "internal", "the request handler failed; report it to the operators"));
    }
}

void ServerCore::onRequestFinished()
{
    --m_inFlight;
}

void ServerCore::removeSession(const std::shared_ptr<ServerSession> &session)
{
    const std::lock_guard lock(m_mutex);
    m_sessions.erase(session);
    if (m_sessions.empty()) {
        m_drainedCondition.notify_all();
    }
}

const std::shared_ptr<ServerGate> &ServerCore::gate() const
{
    return m_gate;
}

void ServerCore::accept()
{
    m_acceptor.async_accept(boost::asio::make_strand(m_io), [self = shared_from_this()](const boost::system::error_code &error, tcp::socket socket) {
        self->onAccepted(error, std::move(socket));
    });
}

void ServerCore::onAccepted(const boost::system::error_code &error, tcp::socket socket)
{
    if (!error) {
        tryAddSession(std::move(socket));
    }
    if (!m_acceptor.is_open()) {
        return;
    }
    if (error) {
        scheduleAcceptRetry();
    } else {
        accept();
    }
}

void ServerCore::scheduleAcceptRetry()
{
    m_acceptRetry.expires_after(acceptRetryInterval);
    m_acceptRetry.async_wait([self = shared_from_this()](const boost::system::error_code &cancelled) {
        if (!cancelled && self->m_acceptor.is_open()) {
            self->accept();
        }
    });
}

void ServerCore::closeListener()
{
    // Connections that the kernel established before the stop may carry requests, so they are still accepted and served.
    boost::system::error_code error;
    m_acceptor.non_blocking(true, error);
    while (!error) {
        tcp::socket socket(boost::asio::make_strand(m_io));
        m_acceptor.accept(socket, error);
        if (!error) {
            tryAddSession(std::move(socket));
        }
    }
    m_acceptor.close(error);
    m_acceptRetry.cancel();
    const std::lock_guard lock(m_mutex);
    m_listenerClosed = true;
    for (const auto &session : m_sessions) {
        session->beginStop();
    }
    m_drainedCondition.notify_all();
}

void ServerCore::tryAddSession(tcp::socket socket)
{
    try {
        addSession(std::move(socket));
    } catch (const std::exception &) {
        // Without memory for one connection the listener must go on, and a stop must close it. The peer sees a closed connection.
        budget().report(m_settings.m_clientKind, CloseCause::Memory);
    }
}

void ServerCore::addSession(tcp::socket socket)
{
    const std::lock_guard lock(m_mutex);
    if (m_terminated) {
        return;
    }
    const auto session = std::make_shared<ServerSession>(shared_from_this(), std::move(socket));
    const auto number = budget().open(m_settings.m_clientKind, std::chrono::steady_clock::now(), [weak = session->weak_from_this()](CloseCause cause) {
        if (const auto asked = weak.lock()) {
            asked->closeForBudget(cause);
        }
    });
    if (!number) {
        return;
    }
    session->setBudgetNumber(*number);
    m_sessions.insert(session);
    session->start();
}

void ServerCore::terminate()
{
    m_gate->close();
    std::unique_lock lock(m_mutex);
    m_terminated = true;
    for (const auto &session : m_sessions) {
        session->closeNow();
    }
    if (!m_io.get_executor().running_in_this_thread()) {
        m_drainedCondition.wait(lock, [this] {
            return m_listenerClosed && m_sessions.empty();
        });
    }
}

}
