#ifndef COMPONENTS_NODE_EVENT_QUEUE_HPP
#define COMPONENTS_NODE_EVENT_QUEUE_HPP

#include "components/node/events.hpp"

#include <chrono>
#include <condition_variable>
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

    /// Removes and returns all queued events; waits for the first one for at most `limit`.
    std::vector<Event> take(std::chrono::milliseconds limit);

private:
    std::mutex m_mutex;
    std::condition_variable m_ready;
    std::vector<Event> m_events;
};

}

#endif
