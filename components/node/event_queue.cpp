#include "components/node/event_queue.hpp"

#include <utility>

namespace node
{

void EventQueue::push(Event event)
{
    bool wasEmpty = false;
    {
        const std::lock_guard lock(m_mutex);
        wasEmpty = m_events.empty();
        m_events.push_back(std::move(event));
    }
    if (wasEmpty) {
        m_ready.notify_one();
    }
}

std::vector<Event> EventQueue::take(std::chrono::milliseconds limit)
{
    std::unique_lock lock(m_mutex);
    m_ready.wait_for(lock, limit, [this] {
        return !m_events.empty();
    });
    return std::exchange(m_events, {});
}

}
