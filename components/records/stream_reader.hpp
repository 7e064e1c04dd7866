#ifndef COMPONENTS_RECORDS_STREAM_READER_HPP
#define COMPONENTS_RECORDS_STREAM_READER_HPP

#include "components/fleet/time.hpp"
#include "components/records/log_state.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace records
{

/// The records of one append of a writer.
struct Batch
{
    std::vector<Record> m_records;

    bool operator==(const Batch &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(m_records);
    }
};

/// The complete state after every entry of the stream below the offset `m_end` was applied.
struct Snapshot
{
    std::uint64_t m_end = 0;
    LogState m_state;

    bool operator==(const Snapshot &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(m_end, m_state);
    }
};

/// The content of the log at one offset.
using Entry = std::variant<Batch, Snapshot>;

std::string encodeEntry(const Entry &entry);

/// Throws wire::CodecError if the bytes are damaged or of an unknown format version.
Entry decodeEntry(std::string_view bytes);

/// A batch that cannot be applied yet because the reader has not reached a snapshot.
struct WaitingBatch
{
    std::uint64_t m_offset = 0;
    fleet::TimePoint m_at;
    Batch m_batch;

    bool operator==(const WaitingBatch &) const = default;
};

/// Builds the state from the system's stream for one reader.
struct StreamReader
{
    LogState m_state;
    /// False while the reader started past offset 0 or missed entries, and has reached no snapshot to start from.
    bool m_complete = false;
    bool m_started = false;
    std::uint64_t m_start = 0;
    /// Offset of the next entry to apply.
    std::uint64_t m_next = 0;
    std::vector<WaitingBatch> m_waiting;
    /// A snapshot in the stream covers every entry below this offset.
    std::uint64_t m_snapshotEnd = 0;
    std::optional<fleet::TimePoint> m_snapshotAt;
    /// Number of entries that could not be decoded, and of invalid snapshots.
    std::uint64_t m_skipped = 0;

    bool operator==(const StreamReader &) const = default;
};

/// Applies the entry at `offset`, which the log stored at `at`, and returns the results of the records that it applied.
/// Entries below `m_next` are ignored. A damaged entry is counted in `m_skipped` and otherwise ignored.
std::vector<RecordResult> applyEntry(StreamReader &reader, std::uint64_t offset, fleet::TimePoint at, std::string_view bytes);

/// Returns a snapshot of the reader's state. The reader must be complete.
Snapshot makeSnapshot(const StreamReader &reader);

/// Adopts the state of a peer, to start while the log cannot be read. Does nothing if this reader has read as far.
void adopt(StreamReader &reader, const Snapshot &snapshot);

}

#endif
