#ifndef COMPONENTS_HTTP_IO_THREAD_HPP
#define COMPONENTS_HTTP_IO_THREAD_HPP

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <thread>
#include <vector>

namespace http
{

/// The threads that run the sockets of clients and servers. A process with little processor time shares one thread
/// among all of them.
class IoThread
{
public:
    explicit IoThread(int threads = 1);
    /// Ends every operation that is still under way without calling its handler.
    ~IoThread();

    IoThread(const IoThread &) = delete;
    IoThread &operator=(const IoThread &) = delete;

    boost::asio::io_context &context();
    /// Lets the threads end once nothing is under way, and waits for that. Must not be called on one of them.
    void join();

private:
    boost::asio::io_context m_context;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work;
    std::vector<std::thread> m_threads;
};

}

#endif
