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

/// Runs posted actions on one thread, in order of due time. All access to the stand-in's state goes through it.
class EventLoop
{
public:
    /// Called with the current time.
    using Action = std::function<void(fleet::TimePoint now)>;

    EventLoop();
    /// Stops the thread. Actions that are not due yet are dropped.
    ~EventLoop();

    EventLoop(const EventLoop &) = delete;
    EventLoop &operator=(const EventLoop &) = delete;

    void post(Action action);
    void postAfter(fleet::Duration delay, Action action);

private:
    struct Entry
    {
        fleet::TimePoint m_due;
        /// Entries with the same due time run in the order in which they were posted.
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
