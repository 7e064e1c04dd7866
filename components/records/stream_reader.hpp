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

/// The records that one writer appended together.
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

/// The whole state after every entry of the stream below `m_end` was folded.
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

/// What the log keeps at one offset.
using Entry = std::variant<Batch, Snapshot>;

std::string encodeEntry(const Entry &entry);

/// Throws wire::CodecError where the bytes are damaged or of an unknown format version.
Entry decodeEntry(std::string_view bytes);

/// An entry that cannot be folded yet, since the reader has not met a snapshot.
struct WaitingBatch
{
    std::uint64_t m_offset = 0;
    fleet::TimePoint m_at;
    Batch m_batch;

    bool operator==(const WaitingBatch &) const = default;
};

/// One reader's fold of the system's own stream.
struct StreamReader
{
    LogState m_state;
    /// False while the reader has met no snapshot that it can start from.
    bool m_complete = false;
    bool m_started = false;
    std::uint64_t m_start = 0;
    /// Offset of the next entry to fold.
    std::uint64_t m_next = 0;
    std::vector<WaitingBatch> m_waiting;
    /// Every entry below this offset is covered by a snapshot in the stream.
    std::uint64_t m_snapshotEnd = 0;
    std::optional<fleet::TimePoint> m_snapshotAt;
    /// Entries that could not be read.
    std::uint64_t m_skipped = 0;

    bool operator==(const StreamReader &) const = default;
};

/// Folds the entry at `offset`, which the log took at `at`, and returns what became of its records. Entries below
/// `m_next` are ignored. A damaged entry is counted in `m_skipped` and otherwise ignored.
std::vector<RecordResult> applyEntry(StreamReader &reader, std::uint64_t offset, fleet::TimePoint at, std::string_view bytes);

/// The snapshot to append for this reader. Needs a complete reader.
Snapshot makeSnapshot(const StreamReader &reader);

/// Takes over a peer's state, for a start while the log cannot be read. Does nothing where this reader is as far.
void adopt(StreamReader &reader, const Snapshot &snapshot);

}

#endif
