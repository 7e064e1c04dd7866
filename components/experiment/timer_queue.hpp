#ifndef COMPONENTS_EXPERIMENT_TIMER_QUEUE_HPP
#define COMPONENTS_EXPERIMENT_TIMER_QUEUE_HPP

#include "components/fleet/time.hpp"

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

namespace experiment
{

/// Callbacks scheduled in virtual time. Entries with the same time run in the order in which they were added.
class TimerQueue
{
public:
    using Callback = std::function<void(fleet::TimePoint now)>;

    void add(fleet::TimePoint at, Callback callback);

    /// Runs the earliest entry. Returns false if the queue is empty.
    bool runNext();

    /// Current virtual time: the time of the entry that ran last.
    fleet::TimePoint now() const
    {
        return m_now;
    }

private:
    struct Entry
    {
        fleet::TimePoint m_at;
        std::uint64_t m_order = 0;
        Callback m_callback;
    };

    struct Later
    {
        bool operator()(const Entry &a, const Entry &b) const
        {
            return a.m_at != b.m_at ? a.m_at > b.m_at : a.m_order > b.m_order;
        }
    };

    std::priority_queue<Entry, std::vector<Entry>, Later> m_entries;
    std::uint64_t m_nextOrder = 0;
    fleet::TimePoint m_now;
};

}

#endif
