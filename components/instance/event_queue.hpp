#ifndef COMPONENTS_INSTANCE_EVENT_QUEUE_HPP
#define COMPONENTS_INSTANCE_EVENT_QUEUE_HPP

#include <chrono>
#include <condition_variable>
#include <mutex>
#include <utility>
#include <vector>

namespace instance
{

/// Carries events from the traffic threads to the control thread.
template<class Event>
class EventQueue
{
public:
    /// Safe from any thread.
    void push(Event event)
    {
        {
            const std::lock_guard lock(m_mutex);
            m_events.push_back(std::move(event));
        }
        m_ready.notify_one();
    }

    /// Removes and returns all queued events; waits at most `timeout` for the first.
    std::vector<Event> take(std::chrono::milliseconds timeout)
    {
        std::unique_lock lock(m_mutex);
        m_ready.wait_for(lock, timeout, [this] {
            return !m_events.empty();
        });
        return std::exchange(m_events, {});
    }

private:
    std::mutex m_mutex;
    std::condition_variable m_ready;
    std::vector<Event> m_events;
};

}

#endif
