#include "components/node/retention_monitor.hpp"

#include <iterator>

namespace node
{

namespace
{

/// Snapshots are no rarer for a longer retention than this.
constexpr fleet::Duration watchedTime {60'000};
/// Ends that are seen sooner after one another are not kept apart.
constexpr fleet::Duration resolution {100};

}

void onJournalBoundsSeen(RetentionMonitor &monitor, std::uint64_t oldest, std::uint64_t end, fleet::BootTime sentAt, fleet::BootTime now)
{
    auto &ends = monitor.m_lastSeenAt;
    std::erase_if(ends, [&](const auto &entry) {
        return now - entry.second > watchedTime;
    });
    if (oldest > monitor.m_oldest) {
        monitor.m_oldest = oldest;
        // The newest expired record was stored after the last read that showed an end at its offset or before.
        const auto later = ends.upper_bound(oldest - 1);
        monitor.m_observed.reset();
        if (later != ends.begin()) {
            const auto before = std::prev(later);
            monitor.m_observed = now - before->second;
            ends.erase(ends.begin(), before);
        }
    }
    const auto last = ends.empty() ? ends.end() : std::prev(ends.end());
    if (last == ends.end() || (end > last->first && sentAt - last->second >= resolution)) {
        ends.emplace(end, sentAt);
    } else if (end == last->first && sentAt > last->second) {
        last->second = sentAt;
    }
}

}
