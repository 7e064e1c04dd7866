#include "components/experiment/timer_queue.hpp"

#include <algorithm>
#include <utility>

namespace experiment
{

void TimerQueue::add(fleet::TimePoint at, Callback callback)
{
    m_entries.push({std::max(at, m_now), m_nextOrder++, std::move(callback)});
}

bool TimerQueue::runNext()
{
    if (m_entries.empty()) {
        return false;
    }
    const Entry entry = m_entries.top();
    m_entries.pop();
    m_now = entry.m_at;
    entry.m_callback(m_now);
    return true;
}

}
