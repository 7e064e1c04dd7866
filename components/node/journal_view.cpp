#include "components/node/journal_view.hpp"

#include "components/journal/snapshot.hpp"
#include "components/wire/codec_error.hpp"

#include <algorithm>
#include <variant>

namespace node
{

namespace
{

/// Pause after a read of the snapshots that failed.
constexpr fleet::Duration snapshotRetry {150};
/// An answer of the store takes 4 ms, and up to eighty times that while it is slow.
constexpr fleet::Duration longestAnswer {500};

bool isFromHolder(const journal::Record &record)
{
    return std::holds_alternative<journal::RunsLaunched>(record) || std::holds_alternative<journal::RunsEnded>(record)
        || std::holds_alternative<journal::HolderHeartbeat>(record) || std::holds_alternative<journal::HolderClaimed>(record);
}

/// The records asked for are gone; a snapshot holds what they said.
void noteExpired(JournalView &view, const store::ReadResult &result)
{
    if (result.m_from != view.m_next) {
        return;
    }
    if (view.m_isTorn) {
        // No snapshot reaches the oldest record. Reading goes on there, and jobs may be unknown.
        view.m_next = result.m_oldest;
        return;
    }
    view.m_isTorn = true;
    view.m_needsSnapshot = true;
}

}

bool takeSnapshotRead(JournalView &view, store::ReadOutcome outcome, const std::vector<store::KeyedRecord> &records, fleet::BootTime now)
{
    view.m_snapshotReadOpen = false;
    if (outcome != store::ReadOutcome::Read) {
        view.m_answersSince = now;
        view.m_nextSnapshotReadAt = now + snapshotRetry;
        return false;
    }
    view.m_answeredAt = now;
    view.m_needsSnapshot = false;
    if (auto snapshot = journal::assembleSnapshot(records); snapshot && snapshot->m_next > view.m_next) {
        view.m_ledger = std::move(snapshot->m_state);
        view.m_next = snapshot->m_next;
        view.m_isTorn = false;
    }
    return true;
}

void noteReadSent(JournalView &view, fleet::BootTime now)
{
    ++view.m_readsOpen;
    view.m_lastReadSentAt = now;
    view.m_unansweredSince = view.m_unansweredSince.value_or(now);
}

bool isWithoutStore(const JournalView &view, fleet::BootTime now)
{
    // The first reads of a long journal take as long as the link and the processor need.
    return view.m_asOf && view.m_unansweredSince && now - *view.m_unansweredSince > longestAnswer;
}

void beginAnew(JournalView &view)
{
    JournalView fresh;
    fresh.m_readsOpen = view.m_readsOpen;
    fresh.m_answeredAt = view.m_answeredAt;
    fresh.m_answersSince = view.m_answersSince;
    fresh.m_readTook = view.m_readTook;
    fresh.m_unansweredSince = view.m_unansweredSince;
    view = fresh;
}

bool takeJournalRead(JournalView &view, const store::ReadResult &result, fleet::BootTime sentAt, fleet::BootTime now, journal::Changes &changes)
{
    if (result.m_outcome == store::ReadOutcome::Read || result.m_outcome == store::ReadOutcome::Expired) {
        view.m_unansweredSince.reset();
    }
    if (result.m_outcome == store::ReadOutcome::Expired) {
        noteExpired(view, result);
        return false;
    }
    if (result.m_outcome != store::ReadOutcome::Read) {
        view.m_answersSince = now;
        return false;
    }
    view.m_answeredAt = now;
    view.m_isTorn = false;
    // A read from beyond what is known was sent before the view was begun anew.
    if (result.m_from > view.m_next) {
        return false;
    }
    view.m_readTook = now - sentAt;
    std::uint64_t offset = result.m_from;
    for (const std::string &bytes : result.m_records) {
        if (offset++ < view.m_next) {
            continue;
        }
        view.m_next = offset;
        try {
            const journal::Record record = journal::decode(bytes);
            journal::apply(view.m_ledger, record, changes);
            if (isFromHolder(record) && offset > view.m_holderNewsFrom) {
                view.m_holderSeenAt = now;
            }
        } catch (const wire::CodecError &) {
            ++view.m_unreadableRecords;
        }
    }
    if (view.m_next < result.m_end) {
        return true;
    }
    view.m_asOf = std::max(view.m_asOf.value_or(sentAt), sentAt);
    return false;
}

}
