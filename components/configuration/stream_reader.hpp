#ifndef COMPONENTS_CONFIGURATION_STREAM_READER_HPP
#define COMPONENTS_CONFIGURATION_STREAM_READER_HPP

#include "components/configuration/configuration.hpp"
#include "components/configuration/record.hpp"
#include "components/fleet/time.hpp"

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace configuration
{

/// A change that cannot be applied yet because the reader has not reached a snapshot.
struct WaitingChange
{
    std::uint64_t m_offset = 0;
    Change m_change;

    bool operator==(const WaitingChange &) const = default;
};

/// Builds the configuration from the configuration stream for one reader.
struct StreamReader
{
    Configuration m_configuration;
    /// False while the reader started past offset 0 or missed records, and has reached no snapshot to start from.
    bool m_complete = false;
    /// Offset of the next record to apply.
    std::uint64_t m_next = 0;
    /// Lowest offset since the reader began to read or last missed records.
    std::uint64_t m_start = 0;
    bool m_started = false;
    std::vector<WaitingChange> m_waiting;
    /// A snapshot in the stream covers every record below this offset.
    std::uint64_t m_snapshotEnd = 0;
    /// Time at which the log stored that snapshot; empty if none was read.
    std::optional<fleet::TimePoint> m_snapshotAt;
    /// Number of records that could not be decoded, and of invalid snapshots.
    std::uint64_t m_skipped = 0;

    bool operator==(const StreamReader &) const = default;
};

/// Applies the record at `offset`, which the log stored at `at`. Records below `m_next` are ignored, so that reading a
/// part of the stream twice changes nothing. Returns the result if the record is a change that was applied now.
///
/// A damaged record, or one of an unknown format version, is counted in `m_skipped` and otherwise ignored. A gap in
/// the offsets makes the reader incomplete until it reaches a snapshot that covers the gap; until then it keeps the
/// configuration in force.
std::optional<ChangeResult> applyRecord(StreamReader &reader, std::uint64_t offset, fleet::TimePoint at, std::string_view bytes);

/// Returns a snapshot of the reader's configuration. The reader must be complete.
Snapshot makeSnapshot(const StreamReader &reader);

/// Adopts the configuration of a peer, to start while the log cannot be read. Does nothing if this reader has read as
/// far or already has a later version.
void adopt(StreamReader &reader, const Snapshot &snapshot);

}

#endif
