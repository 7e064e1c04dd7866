#ifndef COMPONENTS_HTTP_CLIENT_CORE_HPP
#define COMPONENTS_HTTP_CLIENT_CORE_HPP

#include "components/http/byte_count.hpp"
#include "components/http/client_exchange.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <vector>

namespace http
{

/// Connection pools and pending requests of a client. Includes Asio headers; only for use in the client's own sources.
class ClientCore : public std::enable_shared_from_this<ClientCore>
{
public:
    ClientCore(const ClientSettings &settings, boost::asio::io_context &io);
    ~ClientCore();

    ClientCore(const ClientCore &) = delete;
    ClientCore &operator=(const ClientCore &) = delete;

    void start();
    void send(const Address &address, Request request, fleet::Duration timeout, Client::Callback callback);
    /// Aborts pending requests and waits until that is done, unless called on the client's thread.
    void stop();
    const ByteCount &byteCount() const;

private:
    struct Pool
    {
        std::vector<std::unique_ptr<ClientConnection>> m_idle;
        std::deque<std::shared_ptr<ClientExchange>> m_waiting;
        std::size_t m_busy = 0;
    };

    void enqueue(const std::shared_ptr<ClientExchange> &exchange, fleet::Duration timeout);
    void startWaiting(const Address &address);
    void run(Pool &pool, const std::shared_ptr<ClientExchange> &exchange);
    void release(const std::shared_ptr<ClientExchange> &exchange, std::unique_ptr<ClientConnection> connection);
    std::unique_ptr<ClientConnection> takeConnection(Pool &pool, bool forPost);
    void scheduleIdleSweep();
    void sweepIdle();
    void abortAll();

    ClientSettings m_settings;
    /// Shared with the exchanges, whose last handlers may run after the client is gone.
    std::shared_ptr<ByteCount> m_byteCount = std::make_shared<ByteCount>();
    boost::asio::io_context &m_io;
    boost::asio::steady_timer m_sweepTimer;
    std::map<Address, Pool> m_pools;
    std::set<std::shared_ptr<ClientExchange>> m_running;
    bool m_stopped = false;
    std::mutex m_stopMutex;
    bool m_isClosing = false;
};

}

#endif
