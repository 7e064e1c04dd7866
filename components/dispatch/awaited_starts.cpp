#include "components/dispatch/awaited_starts.hpp"

namespace dispatch
{

void AwaitedStarts::add(jobs::JobId job)
{
    std::size_t &count = m_byJob[job];
    m_counted += count < mostCountedOfAJob ? 1 : 0;
    ++count;
}

void AwaitedStarts::remove(jobs::JobId job)
{
    const auto found = m_byJob.find(job);
    if (found == m_byJob.end()) {
        return;
    }
    m_counted -= found->second <= mostCountedOfAJob ? 1 : 0;
    if (--found->second == 0) {
        m_byJob.erase(found);
    }
}

std::size_t AwaitedStarts::of(jobs::JobId job) const
{
    const auto found = m_byJob.find(job);
    return found == m_byJob.end() ? 0 : found->second;
}

std::size_t AwaitedStarts::counted() const
{
    return m_counted;
}

}
