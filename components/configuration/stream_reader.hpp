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

/// A change that cannot be judged yet, since the reader has not met a snapshot.
struct WaitingChange
{
    std::uint64_t m_offset = 0;
    Change m_change;

    bool operator==(const WaitingChange &) const = default;
};

/// One reader's fold of the configuration stream.
struct StreamReader
{
    Configuration m_configuration;
    /// False while the reader started past offset 0 and has met no snapshot that it can start from.
    bool m_complete = false;
    /// Offset of the next record to fold.
    std::uint64_t m_next = 0;
    /// Lowest offset that this reader was given.
    std::uint64_t m_start = 0;
    bool m_started = false;
    std::vector<WaitingChange> m_waiting;
    /// Every record below this offset is covered by a snapshot in the stream.
    std::uint64_t m_snapshotEnd = 0;
    /// Time in the log of that snapshot; absent where none was met.
    std::optional<fleet::TimePoint> m_snapshotAt;
    /// Records that could not be read.
    std::uint64_t m_skipped = 0;

    bool operator==(const StreamReader &) const = default;
};

/// Folds the record at `offset`, which the log took at `at`. Records below `m_next` are ignored, so that reading a
/// part of the stream twice changes nothing. Returns the result of a change that was judged by this record.
///
/// A damaged record, or one of an unknown format version, is counted in `m_skipped` and otherwise ignored. A gap in
/// the offsets makes the reader incomplete until a snapshot closes it; the configuration in force stays meanwhile.
std::optional<ChangeResult> applyRecord(StreamReader &reader, std::uint64_t offset, fleet::TimePoint at, std::string_view bytes);

/// The snapshot to append for this reader. Needs a complete reader.
Snapshot makeSnapshot(const StreamReader &reader);

/// Takes over the configuration that a peer holds, for a start while the log cannot be read. Does nothing where this
/// reader already has the same or a later version.
void adopt(StreamReader &reader, const Snapshot &snapshot);

}

#endif
