#ifndef COMPONENTS_NODE_JOURNAL_VIEW_HPP
#define COMPONENTS_NODE_JOURNAL_VIEW_HPP

#include "components/fleet/boot_time.hpp"
#include "components/journal/changes.hpp"
#include "components/journal/journal_state.hpp"
#include "components/store/keyed_record.hpp"
#include "components/store/read_result.hpp"

#include <cstdint>
#include <optional>
#include <vector>

namespace node
{

/// What the instance has read of the journal.
struct JournalView
{
    journal::JournalState m_ledger;
    /// Offset of the first record not read yet.
    std::uint64_t m_next = 0;
    /// Everything stored before this time has been read.
    std::optional<fleet::BootTime> m_asOf;
    int m_readsOpen = 0;
    /// The newest snapshot has to be read first.
    bool m_needsSnapshot = true;
    bool m_snapshotReadOpen = false;
    fleet::BootTime m_nextSnapshotReadAt;
    /// The records asked for had expired although no newer snapshot was found.
    bool m_isTorn = false;
    fleet::BootTime m_lastReadSentAt;
    /// When the first read was sent since the store last carried one out; nothing while none is open.
    std::optional<fleet::BootTime> m_unansweredSince;
    /// When the store last answered a read, and since when it has answered each.
    fleet::BootTime m_answeredAt;
    fleet::BootTime m_answersSince;
    /// How long the store took for the last read.
    fleet::Duration m_readTook {0};
    /// When a record of the holder was last read that it wrote after its last message: records before this offset are
    /// no news of it.
    fleet::BootTime m_holderSeenAt;
    std::uint64_t m_holderNewsFrom = 0;
    std::uint64_t m_unreadableRecords = 0;
};

/// Notes that a read is sent.
void noteReadSent(JournalView &view, fleet::BootTime now);

/// True where the store has carried out no read for longer than it takes in a bad hour, though it was asked.
bool isWithoutStore(const JournalView &view, fleet::BootTime now);

/// Forgets what was read, and keeps what is known of the store.
void beginAnew(JournalView &view);

/// Takes in what was read of the topic of snapshots; true where the view can go on from there.
bool takeSnapshotRead(JournalView &view, store::ReadOutcome outcome, const std::vector<store::KeyedRecord> &records, fleet::BootTime now);

/// Takes in a read; true where there is more to read at once.
bool takeJournalRead(JournalView &view, const store::ReadResult &result, fleet::BootTime sentAt, fleet::BootTime now, journal::Changes &changes);

}

#endif
