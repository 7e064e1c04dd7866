#include "components/http/io_thread.hpp"

#include <utility>

namespace http
{

IoThread::IoThread(int threads, ErrorHandler onError)
    : m_onError(std::move(onError))
    , m_context(threads)
    , m_work(m_context.get_executor())
{
    for (int i = 0; i < threads; ++i) {
        m_threads.emplace_back([this] {
            run();
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

/// An error in the handler of one call must not end the process, which serves others.
void IoThread::run()
{
    while (true) {
        try {
            m_context.run();
            return;
        } catch (const std::exception &error) {
            if (m_onError) {
                m_onError(error);
            }
        }
    }
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
