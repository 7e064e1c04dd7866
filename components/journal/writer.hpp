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

/// Appends records in order, one batch at a time, and sends a batch again until its fate is known.
struct Writer
{
    std::string m_producer;
    std::uint64_t m_epoch = 0;
    std::uint64_t m_nextSequence = 0;
    std::vector<QueuedRecord> m_queued;
    std::optional<SentBatch> m_sent;
    /// A refused batch is given up rather than sent again.
    bool m_dropsRefusedBatches = false;
    /// Smoothed time of an append, for sending again in good time.
    fleet::Duration m_smoothedAppendTime {20};
};

void enqueue(Writer &writer, std::string bytes, std::uint64_t ticket);
/// For a keyed topic.
void enqueueKeyed(Writer &writer, std::string key, std::string bytes, std::uint64_t ticket);

/// The call to make now, if any: a new batch, or the present one again.
std::optional<store::AppendCall> takeDueCall(Writer &writer, const store::Topic &topic, fleet::BootTime now);

/// Takes back the records with a ticket that no call has carried yet.
/// @return the tickets of what will not be stored.
std::vector<std::uint64_t> withdrawUnsent(Writer &writer);

/// When takeDueCall() may next have a call; nothing while the writer is idle.
std::optional<fleet::BootTime> nextDue(const Writer &writer);

/// Takes in the end of one call that carried `sequence` and was sent at `sentAt`.
WriteOutcome onAppendEnded(Writer &writer, std::uint64_t sequence, fleet::BootTime sentAt, const store::AppendResult &result, fleet::BootTime now);

}

#endif
