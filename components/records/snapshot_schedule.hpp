#ifndef COMPONENTS_RECORDS_SNAPSHOT_SCHEDULE_HPP
#define COMPONENTS_RECORDS_SNAPSHOT_SCHEDULE_HPP

#include "components/fleet/time.hpp"

#include <cstdint>
#include <optional>

namespace records
{

struct SnapshotSettings
{
    /// A snapshot is due once the last one is this old: well below the time that the log keeps records.
    fleet::Duration m_maxAge = std::chrono::minutes(30);
    /// A snapshot is due once this many entries follow the last one; bounds the catch-up of a new instance.
    std::uint64_t m_maxEntries = 20'000;
    /// Each instance waits this long for every one that goes before it, so that usually one writes.
    fleet::Duration m_delayPerTurn = std::chrono::seconds(10);
};

/// What one reader knows about the snapshots of a stream. Serves the configuration stream as well.
struct SnapshotView
{
    std::uint64_t m_next = 0;
    std::uint64_t m_snapshotEnd = 0;
    std::optional<fleet::TimePoint> m_snapshotAt;
    /// When this reader began to read; stands in for the age of a snapshot that was never made.
    fleet::TimePoint m_readingSince;
};

/// True where this instance should append a snapshot now.
///
/// `rank` is the instance's place among `instances` live ones, in an order that all agree on. The turn rotates with the
/// last snapshot's offset, so the work is shared. Instances that disagree about who is live may both write; a second
/// snapshot is harmless.
bool isSnapshotDue(const SnapshotSettings &settings, const SnapshotView &view, std::uint64_t rank, std::uint64_t instances, fleet::TimePoint now);

}

#endif
