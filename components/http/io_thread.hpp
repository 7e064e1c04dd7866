#ifndef COMPONENTS_HTTP_IO_THREAD_HPP
#define COMPONENTS_HTTP_IO_THREAD_HPP

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <exception>
#include <functional>
#include <thread>
#include <vector>

namespace http
{

/// One or more threads that run the Asio context of clients and servers. A process with little processor time shares one thread
/// between all of its clients and servers.
class IoThread
{
public:
    /// Called on one of the threads with an error that nobody expected in a handler. The other handlers still run.
    using ErrorHandler = std::function<void(const std::exception &)>;

    explicit IoThread(int threads = 1, ErrorHandler onError = {});
    /// Drops pending operations without calling their handlers.
    ~IoThread();

    IoThread(const IoThread &) = delete;
    IoThread &operator=(const IoThread &) = delete;

    boost::asio::io_context &context();
    /// Waits until no operation is pending and the threads have ended. Must not be called on one of the threads.
    void join();

private:
    void run();

    ErrorHandler m_onError;
    boost::asio::io_context m_context;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work;
    std::vector<std::thread> m_threads;
};

}

#endif
