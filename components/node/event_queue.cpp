#include "components/node/event_queue.hpp"

#include <utility>

namespace node
{

namespace
{

/// Several for each of the largest deployment's 43 instances. With datagrams of the adapter's size limit they take 4 MB.
constexpr std::size_t maxDatagrams = 1024;

}

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

bool EventQueue::pushDatagram(DatagramArrived datagram)
{
    {
        const std::lock_guard lock(m_mutex);
        if (m_datagrams >= maxDatagrams) {
            return false;
        }
        ++m_datagrams;
    }
    push(std::move(datagram));
    return true;
}

std::vector<Event> EventQueue::take(std::chrono::milliseconds limit)
{
    std::unique_lock lock(m_mutex);
    m_ready.wait_for(lock, limit, [this] {
        return !m_events.empty();
    });
    m_datagrams = 0;
    return std::exchange(m_events, {});
}

}
