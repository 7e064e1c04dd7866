#ifndef COMPONENTS_HTTP_SERVER_GATE_HPP
#define COMPONENTS_HTTP_SERVER_GATE_HPP

#include <functional>
#include <mutex>

namespace http
{

/// Tells responders whether their server is still there. May outlive the server and its threads. Thread-safe.
class ServerGate
{
public:
    /// Runs `action` unless the gate is closed. close() returns only after `action`.
    void runUnlessClosed(const std::function<void()> &action)
    {
        const std::lock_guard lock(m_mutex);
        if (!m_isClosed) {
            action();
        }
    }

    void close()
    {
        const std::lock_guard lock(m_mutex);
        m_isClosed = true;
    }

private:
    std::mutex m_mutex;
    bool m_isClosed = false;
};

}

#endif
