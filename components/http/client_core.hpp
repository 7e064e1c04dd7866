#ifndef COMPONENTS_HTTP_CLIENT_CORE_HPP
#define COMPONENTS_HTTP_CLIENT_CORE_HPP

#include "components/http/byte_count.hpp"
#include "components/http/client_exchange.hpp"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <deque>
#include <map>
#include <mutex>
#include <set>
#include <thread>
#include <vector>

namespace http
{

/// The client's thread and its connections by address. Includes Asio; meant for the client's own sources.
class ClientCore
{
public:
    explicit ClientCore(const ClientSettings &settings);
    ~ClientCore();

    ClientCore(const ClientCore &) = delete;
    ClientCore &operator=(const ClientCore &) = delete;

    void send(const Address &target, Request request, fleet::Duration timeout, Client::Callback callback);
    void stop();
    const ByteCount &byteCount() const;

private:
    struct Pool
    {
        std::vector<std::unique_ptr<ClientConnection>> m_idle;
        std::deque<std::shared_ptr<ClientExchange>> m_waiting;
        std::size_t m_busy = 0;
    };

    void begin(const std::shared_ptr<ClientExchange> &exchange, fleet::Duration timeout);
    void serveWaiting(const Address &target);
    void run(Pool &pool, const std::shared_ptr<ClientExchange> &exchange);
    void release(const std::shared_ptr<ClientExchange> &exchange, std::unique_ptr<ClientConnection> connection);
    std::unique_ptr<ClientConnection> takeConnection(Pool &pool, bool forPost);
    void sweepIdleLater();
    void sweepIdle();
    void abandonAll();

    ClientSettings m_settings;
    ByteCount m_byteCount;
    boost::asio::io_context m_io;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work;
    boost::asio::steady_timer m_sweep;
    std::map<Address, Pool> m_pools;
    std::set<std::shared_ptr<ClientExchange>> m_running;
    bool m_stopped = false;
    std::mutex m_stopMutex;
    bool m_refusing = false;
    std::thread m_thread;
};

}

#endif
