#ifndef COMPONENTS_STANDIN_EVENT_LOOP_HPP
#define COMPONENTS_STANDIN_EVENT_LOOP_HPP

#include "components/fleet/time.hpp"

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <mutex>
#include <queue>
#include <thread>
#include <vector>

namespace standin
{

/// One thread that owns the stand-in's state. Everything that touches the state is posted to it.
class EventLoop
{
public:
    /// Gets the present time.
    using Action = std::function<void(fleet::TimePoint now)>;

    EventLoop();
    /// Ends the thread; actions that are not due yet are dropped.
    ~EventLoop();

    EventLoop(const EventLoop &) = delete;
    EventLoop &operator=(const EventLoop &) = delete;

    void post(Action action);
    void postAfter(fleet::Duration delay, Action action);

private:
    struct Entry
    {
        fleet::TimePoint m_due;
        /// Keeps entries that are due at once in the order of posting.
        std::uint64_t m_number = 0;
        Action m_action;
    };

    struct Later
    {
        bool operator()(const Entry &a, const Entry &b) const
        {
            return a.m_due != b.m_due ? a.m_due > b.m_due : a.m_number > b.m_number;
        }
    };

    void run();

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::priority_queue<Entry, std::vector<Entry>, Later> m_entries;
    std::uint64_t m_posted = 0;
    bool m_ending = false;
    std::thread m_thread;
};

}

#endif
