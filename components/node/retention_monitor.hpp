#ifndef COMPONENTS_NODE_RETENTION_MONITOR_HPP
#define COMPONENTS_NODE_RETENTION_MONITOR_HPP

#include "components/fleet/boot_time.hpp"
#include "components/fleet/time.hpp"

#include <cstdint>
#include <map>
#include <optional>

namespace node
{

/// What an instance has seen of how long the store keeps the records of the journal.
struct RetentionMonitor
{
    /// Ends of the journal that reads showed within the last minute, and when the last read that showed each was sent.
    std::map<std::uint64_t, fleet::BootTime> m_lastSeenAt;
    /// Records before this offset have expired.
    std::uint64_t m_oldest = 0;
    /// How old, at most, the newest expired record was when it was first seen to be gone; empty if it was older than a minute, or
    /// stored before the instance started.
    std::optional<fleet::Duration> m_observed;

    bool operator==(const RetentionMonitor &) const = default;
};

/// Records what a read showed of the ends of the journal.
void onJournalBoundsSeen(RetentionMonitor &monitor, std::uint64_t oldest, std::uint64_t end, fleet::BootTime sentAt, fleet::BootTime now);

}

#endif
