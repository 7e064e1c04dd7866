#include "components/node/journal_view.hpp"

#include "components/journal/snapshot.hpp"
#include "components/wire/codec_error.hpp"

#include <algorithm>
#include <variant>

namespace node
{

namespace
{

/// Delay before a failed read of the snapshots is repeated.
constexpr fleet::Duration snapshotRetryDelay {150};
/// If a read is unanswered for longer than this, the store counts as unreachable. It usually answers within 4 ms, and takes up
/// to eighty times as long while it is slow.
constexpr fleet::Duration maxAnswerTime {500};

bool isFromHolder(const journal::Record &record)
{
    return std::holds_alternative<journal::RunsLaunched>(record) || std::holds_alternative<journal::RunsEnded>(record)
        || std::holds_alternative<journal::HolderHeartbeat>(record) || std::holds_alternative<journal::HolderClaimed>(record);
}

/// Handles a read of records that have expired. A snapshot contains what they said.
void onRecordsExpired(JournalView &view, const store::ReadResult &result, fleet::BootTime now)
{
    // Several reads may be open. The snapshot that the first of them asked for has to be read before the others say more.
    if (result.m_from != view.m_nextOffset || view.m_needsSnapshot) {
        return;
    }
    if (view.m_hasGap) {
        // No snapshot reaches the oldest record. Reading continues at that record, and jobs before it may be missing.
        view.m_nextOffset = result.m_oldest;
        view.m_incompleteSince = view.m_missingBefore ? view.m_incompleteSince : now;
        view.m_missingBefore = result.m_oldest;
        return;
    }
    view.m_hasGap = true;
    view.m_needsSnapshot = true;
}

}

bool recordSnapshotReadEnded(JournalView &view, store::ReadOutcome outcome, fleet::BootTime now)
{
    view.m_isSnapshotReadOpen = false;
    if (outcome != store::ReadOutcome::Read) {
        view.m_answeringSince = now;
        view.m_nextSnapshotReadAt = now + snapshotRetryDelay;
        return false;
    }
    view.m_lastAnswerAt = now;
    return true;
}

bool applySnapshotRead(
    JournalView &view, store::ReadOutcome outcome, const std::vector<store::KeyedRecord> &records, fleet::BootTime sentAt, fleet::BootTime now)
{
    if (!recordSnapshotReadEnded(view, outcome, now)) {
        return false;
    }
    view.m_needsSnapshot = false;
    view.m_snapshotAsOf = sentAt;
    auto snapshot = journal::assembleSnapshot(records);
    const bool isNewer = snapshot && snapshot->m_next > view.m_nextOffset;
    const bool containsMissing = snapshot && view.m_missingBefore && snapshot->m_next >= *view.m_missingBefore;
    if (isNewer || containsMissing) {
        if (!isNewer) {
            // The records after the snapshot are read again.
            view.m_asOf.reset();
        }
        view.m_missingBefore.reset();
        view.m_journalState = std::move(snapshot->m_state);
        view.m_nextOffset = snapshot->m_next;
        view.m_hasGap = false;
    }
    return true;
}

void recordReadSent(JournalView &view, fleet::BootTime now)
{
    ++view.m_readsOpen;
    view.m_lastReadSentAt = now;
    view.m_unansweredSince = view.m_unansweredSince.value_or(now);
}

bool isStoreUnreachable(const JournalView &view, fleet::BootTime now)
{
    // Until m_asOf is set, a long journal is read for the first time, which takes as long as the link and the processor need.
    return view.m_asOf && view.m_unansweredSince && now - *view.m_unansweredSince > maxAnswerTime;
}

bool isIncomplete(const JournalView &view)
{
    return view.m_missingBefore.has_value();
}

void resetJournalView(JournalView &view)
{
    JournalView fresh;
    fresh.m_readsOpen = view.m_readsOpen;
    fresh.m_lastAnswerAt = view.m_lastAnswerAt;
    fresh.m_answeringSince = view.m_answeringSince;
    fresh.m_lastReadDuration = view.m_lastReadDuration;
    fresh.m_unansweredSince = view.m_unansweredSince;
    fresh.m_retention = std::move(view.m_retention);
    view = std::move(fresh);
}

bool applyJournalRead(JournalView &view, const store::ReadResult &result, fleet::BootTime sentAt, fleet::BootTime now, journal::Changes &changes)
{
    if (result.m_outcome == store::ReadOutcome::Read || result.m_outcome == store::ReadOutcome::Expired) {
        view.m_unansweredSince.reset();
    }
    if (result.m_outcome == store::ReadOutcome::Expired) {
        onRecordsExpired(view, result, now);
        return false;
    }
    if (result.m_outcome != store::ReadOutcome::Read) {
        view.m_answeringSince = now;
        return false;
    }
    view.m_lastAnswerAt = now;
    view.m_hasGap = false;
    onJournalBoundsSeen(view.m_retention, result.m_oldest, result.m_end, sentAt, now);
    // A read that begins after m_nextOffset was sent before the view was reset.
    if (result.m_from > view.m_nextOffset) {
        return false;
    }
    view.m_lastReadDuration = now - sentAt;
    std::uint64_t offset = result.m_from;
    for (const std::string &bytes : result.m_records) {
        if (offset++ < view.m_nextOffset) {
            continue;
        }
        view.m_nextOffset = offset;
        try {
            const journal::Record record = journal::decode(bytes);
            journal::apply(view.m_journalState, record, changes);
            if (isFromHolder(record) && offset > view.m_holderReportedEnd) {
                view.m_lastHolderRecordAt = now;
            }
        } catch (const wire::CodecError &) {
            ++view.m_unreadableRecords;
        }
    }
    if (view.m_nextOffset < result.m_end) {
        return true;
    }
    view.m_asOf = std::max(view.m_asOf.value_or(sentAt), sentAt);
    return false;
}

}
