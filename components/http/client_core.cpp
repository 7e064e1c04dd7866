#include "components/http/client_core.hpp"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <future>
#include <utility>

namespace http
{

namespace
{

constexpr std::chrono::seconds sweepInterval {1};

}

ClientCore::ClientCore(const ClientSettings &settings, boost::asio::io_context &io)
    : m_settings(settings)
    , m_io(io)
    , m_sweepTimer(m_io)
{
}

ClientCore::~ClientCore() = default;

void ClientCore::start()
{
    boost::asio::post(m_io, [self = shared_from_this()] {
        self->scheduleIdleSweep();
    });
}

void ClientCore::send(const Address &address, Request request, fleet::Duration timeout, Client::Callback callback)
{
    auto exchange = std::make_shared<ClientExchange>(m_io, m_byteCount, address, std::move(request), std::move(callback));
    {
        const std::lock_guard lock(m_stopMutex);
        if (!m_isClosing) {
            boost::asio::post(m_io, [self = shared_from_this(), exchange, timeout] {
                self->enqueue(exchange, timeout);
            });
            return;
        }
    }
    exchange->abort("the client was closed");
}

void ClientCore::stop()
{
    std::promise<void> done;
    {
        const std::lock_guard lock(m_stopMutex);
        if (std::exchange(m_isClosing, true)) {
            return;
        }
        if (m_io.get_executor().running_in_this_thread()) {
            abortAll();
            return;
        }
        boost::asio::post(m_io, [self = shared_from_this(), &done] {
            self->abortAll();
            done.set_value();
        });
    }
    done.get_future().wait();
}

const ByteCount &ClientCore::byteCount() const
{
    return *m_byteCount;
}

void ClientCore::enqueue(const std::shared_ptr<ClientExchange> &exchange, fleet::Duration timeout)
{
    auto &pool = m_pools[exchange->address()];
    if (m_stopped) {
        exchange->abort("the client was closed");
        return;
    }
    if (pool.m_waiting.size() >= m_settings.m_waitingPerAddress) {
        exchange->abort("too many requests are waiting for " + toString(exchange->address()) + "; send fewer at once");
        return;
    }
    exchange->startTimeout(timeout);
    pool.m_waiting.push_back(exchange);
    startWaiting(exchange->address());
}

void ClientCore::startWaiting(const Address &address)
{
    auto &pool = m_pools[address];
    while (!pool.m_waiting.empty() && pool.m_busy < m_settings.m_connectionsPerAddress) {
        const auto exchange = pool.m_waiting.front();
        pool.m_waiting.pop_front();
        if (!exchange->ended()) {
            run(pool, exchange);
        }
    }
}

void ClientCore::run(Pool &pool, const std::shared_ptr<ClientExchange> &exchange)
{
    ++pool.m_busy;
    m_running.insert(exchange);
    exchange->run(takeConnection(pool, exchange->isPost()), m_settings, [self = shared_from_this(), exchange](std::unique_ptr<ClientConnection> connection) {
        self->release(exchange, std::move(connection));
    });
}

void ClientCore::release(const std::shared_ptr<ClientExchange> &exchange, std::unique_ptr<ClientConnection> connection)
{
    auto &pool = m_pools[exchange->address()];
    --pool.m_busy;
    m_running.erase(exchange);
    if (exchange->hasTimedOut()) {
        // What silenced this connection may have silenced the others too, without a reset that would show it. Each of them would cost
        // one more timeout.
        pool.m_idle.clear();
    }
    if (connection && !m_stopped) {
        connection->m_idleSince = std::chrono::steady_clock::now();
        pool.m_idle.push_back(std::move(connection));
    }
    if (!pool.m_waiting.empty()) {
        boost::asio::post(m_io, [self = shared_from_this(), address = exchange->address()] {
            self->startWaiting(address);
        });
    }
}

std::unique_ptr<ClientConnection> ClientCore::takeConnection(Pool &pool, bool forPost)
{
    const auto limit = forPost ? m_settings.m_postIdleLimit : m_settings.m_idleLimit;
    const auto now = std::chrono::steady_clock::now();
    // The most recently used connection is at the back and is the most likely to be still open.
    while (!pool.m_idle.empty() && now - pool.m_idle.back()->m_idleSince <= limit) {
        auto connection = std::move(pool.m_idle.back());
        pool.m_idle.pop_back();
        if (isReusable(*connection)) {
            return connection;
        }
    }
    return std::make_unique<ClientConnection>(m_io);
}

void ClientCore::scheduleIdleSweep()
{
    if (m_stopped) {
        return;
    }
    m_sweepTimer.expires_after(sweepInterval);
    m_sweepTimer.async_wait([self = shared_from_this()](const boost::system::error_code &cancelled) {
        if (!cancelled) {
            self->sweepIdle();
            self->scheduleIdleSweep();
        }
    });
}

void ClientCore::sweepIdle()
{
    const auto oldest = std::chrono::steady_clock::now() - m_settings.m_idleLimit;
    for (auto entry = m_pools.begin(); entry != m_pools.end();) {
        auto &pool = entry->second;
        std::erase_if(pool.m_idle, [oldest](const auto &connection) {
            return connection->m_idleSince < oldest || !isReusable(*connection);
        });
        std::erase_if(pool.m_waiting, [](const auto &exchange) {
            return exchange->ended();
        });
        const bool unused = pool.m_idle.empty() && pool.m_waiting.empty() && pool.m_busy == 0;
        entry = unused ? m_pools.erase(entry) : std::next(entry);
    }
}

void ClientCore::abortAll()
{
    m_stopped = true;
    m_sweepTimer.cancel();
    for (auto &[address, pool] : m_pools) {
        for (const auto &exchange : std::exchange(pool.m_waiting, {})) {
            exchange->abort("the client was closed");
        }
    }
    const auto running = m_running;
    for (const auto &exchange : running) {
        exchange->abort("the client was closed");
    }
    for (auto &[address, pool] : m_pools) {
        pool.m_idle.clear();
    }
}

}
