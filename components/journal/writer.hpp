#ifndef COMPONENTS_JOURNAL_WRITER_HPP
#define COMPONENTS_JOURNAL_WRITER_HPP

#include "components/fleet/boot_time.hpp"
#include "components/journal/sent_batch.hpp"
#include "components/journal/write_outcome.hpp"
#include "components/store/append_call.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace store
{
struct AppendResult;
}

namespace journal
{

/// Appends records in order, one batch at a time, and resends a batch until its outcome is known.
struct Writer
{
    std::string m_producer;
    std::uint64_t m_epoch = 0;
    std::uint64_t m_nextSequence = 0;
    std::vector<QueuedRecord> m_queued;
    std::optional<SentBatch> m_sent;
    /// Drops a batch that the store refused instead of resending it.
    bool m_dropsRefusedBatches = false;
    /// Moving average of the append time. Determines when a batch is resent.
    fleet::Duration m_smoothedAppendTime {20};
};

void enqueue(Writer &writer, std::string bytes, std::uint64_t ticket);
/// For a keyed topic.
void enqueueKeyed(Writer &writer, std::string key, std::string bytes, std::uint64_t ticket);

/// Returns the call to make now, if any: a new batch, or the current one again.
std::optional<store::AppendCall> takeDueCall(Writer &writer, const store::Topic &topic, fleet::BootTime now);

/// Removes the queued records that have a ticket and were not part of any call yet.
/// @return the tickets of the removed records, which will not be stored.
std::vector<std::uint64_t> withdrawUnsent(Writer &writer);

/// Returns when takeDueCall() may next return a call; nothing while the writer is idle.
std::optional<fleet::BootTime> nextDue(const Writer &writer);

/// Processes the result of one call that had sequence number `sequence` and was sent at `sentAt`.
WriteOutcome onAppendEnded(Writer &writer, std::uint64_t sequence, fleet::BootTime sentAt, const store::AppendResult &result, fleet::BootTime now);

}

#endif
