#include "components/standin/event_loop.hpp"

#include <utility>

namespace standin
{

namespace
{

fleet::TimePoint currentTime()
{
    return std::chrono::time_point_cast<fleet::Duration>(std::chrono::system_clock::now());
}

}

EventLoop::EventLoop()
    : m_thread([this] {
        run();
    })
{
}

EventLoop::~EventLoop()
{
    {
        const std::lock_guard lock(m_mutex);
        m_ending = true;
    }
    m_changed.notify_one();
    m_thread.join();
}

void EventLoop::post(Action action)
{
    postAfter(fleet::Duration(0), std::move(action));
}

void EventLoop::postAfter(fleet::Duration delay, Action action)
{
    {
        const std::lock_guard lock(m_mutex);
        m_entries.push({currentTime() + delay, m_posted++, std::move(action)});
    }
    m_changed.notify_one();
}

void EventLoop::run()
{
    std::unique_lock lock(m_mutex);
    while (!m_ending) {
        if (m_entries.empty()) {
            m_changed.wait(lock);
        } else if (m_entries.top().m_due > currentTime()) {
            // Copied because the queue may be reordered during the wait.
            const auto due = m_entries.top().m_due;
            m_changed.wait_until(lock, due);
        } else {
            const auto action = m_entries.top().m_action;
            m_entries.pop();
            lock.unlock();
            action(currentTime());
            lock.lock();
        }
    }
}

}
