#include "components/http/io_thread.hpp"

namespace http
{

IoThread::IoThread(int threads)
    : m_context(threads)
    , m_work(m_context.get_executor())
{
    for (int i = 0; i < threads; ++i) {
        m_threads.emplace_back([this] {
            m_context.run();
        });
    }
}

IoThread::~IoThread()
{
    m_context.stop();
    join();
}

boost::asio::io_context &IoThread::context()
{
    return m_context;
}

void IoThread::join()
{
    m_work.reset();
    for (std::thread &thread : m_threads) {
        thread.join();
    }
    m_threads.clear();
}

}
