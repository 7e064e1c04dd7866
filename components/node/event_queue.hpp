#ifndef COMPONENTS_NODE_EVENT_QUEUE_HPP
#define COMPONENTS_NODE_EVENT_QUEUE_HPP

#include "components/node/events.hpp"

#include <chrono>
#include <condition_variable>
#include <mutex>
#include <vector>

namespace node
{

/// Carries events from the traffic thread to the control thread.
class EventQueue
{
public:
    /// Safe from any thread.
    void push(Event event);

    /// Takes every event that is there; waits at most `limit` for the first.
    std::vector<Event> take(std::chrono::milliseconds limit);

private:
    std::mutex m_mutex;
    std::condition_variable m_ready;
    std::vector<Event> m_events;
};

}

#endif
