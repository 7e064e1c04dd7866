#ifndef COMPONENTS_NODE_JOURNAL_VIEW_HPP
#define COMPONENTS_NODE_JOURNAL_VIEW_HPP

#include "components/fleet/boot_time.hpp"
#include "components/journal/changes.hpp"
#include "components/journal/journal_state.hpp"
#include "components/node/retention_monitor.hpp"
#include "components/store/keyed_record.hpp"
#include "components/store/read_result.hpp"

#include <cstdint>
#include <optional>
#include <vector>

namespace node
{

/// What the instance has read of the journal, and how the store answered its reads.
struct JournalView
{
    journal::JournalState m_journalState;
    /// Offset of the first record not read yet.
    std::uint64_t m_nextOffset = 0;
    /// Everything stored before this time has been read.
    std::optional<fleet::BootTime> m_asOf;
    int m_readsOpen = 0;
    /// The newest snapshot has to be read before the journal.
    bool m_needsSnapshot = true;
    bool m_isSnapshotReadOpen = false;
    /// When the last read of the snapshots that the store answered was sent.
    std::optional<fleet::BootTime> m_snapshotAsOf;
    fleet::BootTime m_nextSnapshotReadAt;
    /// The next records had expired when they were read, and no newer snapshot has been found since.
    bool m_hasGap = false;
    /// Records before this offset expired before they were read, and no snapshot that contains them has been read since.
    std::optional<std::uint64_t> m_missingBefore;
    fleet::BootTime m_incompleteSince;
    fleet::BootTime m_lastReadSentAt;
    /// When the first read after the store's last answer was sent; empty if there was none.
    std::optional<fleet::BootTime> m_unansweredSince;
    /// When the store last answered a read.
    fleet::BootTime m_lastAnswerAt;
    /// The store has answered all reads since this time.
    fleet::BootTime m_answeringSince;
    /// How long the last successful read of the journal took.
    fleet::Duration m_lastReadDuration {0};
    /// When a record was last read that the holder wrote after its last message. Records before m_holderReportedEnd are not
    /// counted, since they show nothing newer than the message.
    fleet::BootTime m_lastHolderRecordAt;
    std::uint64_t m_holderReportedEnd = 0;
    std::uint64_t m_unreadableRecords = 0;
    RetentionMonitor m_retention;
};

/// Records that a read is sent.
void recordReadSent(JournalView &view, fleet::BootTime now);

/// True if the store has left reads unanswered for longer than its answers take even while it is slow.
bool isStoreUnreachable(const JournalView &view, fleet::BootTime now);

/// True if the journal state lacks records, so that jobs may be unknown or further along than it says.
bool isIncomplete(const JournalView &view);

/// Discards what was read of the journal, but keeps what is known of the open reads and of the store.
void resetJournalView(JournalView &view);

/// Records that a read of the snapshots' topic has ended. Returns false if it failed.
bool recordSnapshotReadEnded(JournalView &view, store::ReadOutcome outcome, fleet::BootTime now);

/// Applies a read of the snapshots' topic. Returns true if the read succeeded, and the journal can be read from m_nextOffset.
bool applySnapshotRead(
    JournalView &view, store::ReadOutcome outcome, const std::vector<store::KeyedRecord> &records, fleet::BootTime sentAt, fleet::BootTime now);

/// Applies a read of the journal. Returns true if there is more to read at once.
bool applyJournalRead(JournalView &view, const store::ReadResult &result, fleet::BootTime sentAt, fleet::BootTime now, journal::Changes &changes);

}

#endif
