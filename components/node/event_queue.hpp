#ifndef COMPONENTS_NODE_EVENT_QUEUE_HPP
#define COMPONENTS_NODE_EVENT_QUEUE_HPP

#include "components/node/events.hpp"

#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <mutex>
#include <vector>

namespace node
{

/// Passes events from other threads to the control thread.
class EventQueue
{
public:
    /// Safe from any thread.
    void push(Event event);

    /// Adds a datagram unless too many are queued: any sender can send them faster than the control thread handles them, and instances repeat
    /// what they send. Safe from any thread.
    /// @return False if the datagram was dropped.
    bool pushDatagram(DatagramArrived datagram);

    /// Removes and returns all queued events; waits for the first one for at most `limit`.
    std::vector<Event> take(std::chrono::milliseconds limit);

private:
    std::mutex m_mutex;
    std::condition_variable m_ready;
    std::vector<Event> m_events;
    std::size_t m_datagrams = 0;
};

}

#endif
