#ifndef COMPONENTS_RECORDS_SNAPSHOT_SCHEDULE_HPP
#define COMPONENTS_RECORDS_SNAPSHOT_SCHEDULE_HPP

#include "components/fleet/time.hpp"

#include <cstdint>
#include <optional>

namespace records
{

struct SnapshotSettings
{
    /// A snapshot is due once the last one is this old. Must be well below the retention of the log.
    fleet::Duration m_maxAge = std::chrono::minutes(30);
    /// A snapshot is due once this many entries follow the last one. Bounds what a new instance has to read.
    std::uint64_t m_maxEntries = 20'000;
    /// Additional wait of an instance for each one whose turn comes before its own, so that usually only one writes.
    fleet::Duration m_delayPerTurn = std::chrono::seconds(10);
};

/// One reader's view of the snapshots of a stream. Also used for the configuration stream.
struct SnapshotView
{
    std::uint64_t m_next = 0;
    std::uint64_t m_snapshotEnd = 0;
    std::optional<fleet::TimePoint> m_snapshotAt;
    /// When this reader began to read; used instead of the time of the last snapshot if there is none.
    fleet::TimePoint m_readingSince;
};

/// True if this instance should append a snapshot now.
///
/// `rank` is the position of this instance among `instances` live ones, in an order that is the same for all. The turn
/// rotates with the offset of the last snapshot, which distributes the work. Instances that disagree on which ones are
/// live may both write; a second snapshot is harmless.
bool isSnapshotDue(const SnapshotSettings &settings, const SnapshotView &view, std::uint64_t rank, std::uint64_t instances, fleet::TimePoint now);

}

#endif
