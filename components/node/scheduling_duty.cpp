#include "components/node/scheduling_duty.hpp"

#include "components/dispatch/scheduler_events.hpp"
#include "components/dispatch/unanswered_starts.hpp"
#include "components/dispatch/waiting.hpp"
#include "components/journal/snapshot.hpp"
#include "components/node/instance_stats.hpp"
#include "components/node/ports.hpp"
#include "components/node/timing.hpp"

#include <algorithm>
#include <utility>

namespace node
{

namespace
{

using namespace std::chrono_literals;

constexpr const char *producer = "scheduler";
constexpr const char *snapshotProducer = "snapshots";
/// Number of snapshots within the time for which the store keeps a record, so that a failed one leaves no gap.
constexpr int snapshotsPerRetention = 4;
/// Limits the number of records that a starting process has to read after the newest snapshot.
constexpr fleet::Duration maxSnapshotInterval {15'000};
/// Limits the bytes of snapshots if records expire at once.
constexpr fleet::Duration minSnapshotInterval {250};
/// The holder sends a message to every instance this often.
constexpr fleet::Duration heartbeatInterval {100};
/// A resigning holder broadcasts its resignation this often until its last record is stored.
constexpr fleet::Duration resignationInterval {40};
/// The holder appends to the journal at least this often: every heartbeatRecordInterval while an instance does not answer its
/// heartbeats, every idleHeartbeatRecordInterval otherwise.
constexpr fleet::Duration heartbeatRecordInterval {350};
constexpr fleet::Duration idleHeartbeatRecordInterval {2000};
/// An instance that answered within recentAnswerWindow but not within answerTimeout may not receive the heartbeats.
constexpr fleet::Duration recentAnswerWindow {10'000};
constexpr fleet::Duration answerTimeout {200};
/// A zone is suspected to be partitioned if none of its instances has answered for this long: three heartbeats and their
/// round trip.
constexpr fleet::Duration zoneTimeout {350};
/// How long an instance waits before it claims again after losing the duty, and after losing a race for it.
constexpr fleet::Duration claimBackoff {3000};
constexpr fleet::Duration lostRaceBackoff {300};
constexpr fleet::Duration workerListReadInterval {500};
/// A holder with little processor time hands the duty over once it has held it for minTimeToHandOver, and tries again after
/// handOverInterval, since each change of the holder costs a fraction of a second.
constexpr fleet::Duration minTimeToHandOver {1500};
constexpr fleet::Duration handOverInterval {10'000};
/// How recently such an instance must have answered a heartbeat.
constexpr fleet::Duration recentHeartbeatAnswer {300};
/// An instance whose reads were answered within this time can take the duty over.
constexpr fleet::Duration maxSilenceToTakeOver {1500};
/// Limits how far the token of a claim skips ahead.
constexpr int maxTokenDoublings = 16;
constexpr std::int64_t maxReportedSilenceMs = 60'000;
/// Refused entries of the worker list that one read names in the log.
constexpr int maxRefusalLines = 10;

/// The store may keep records for less time than the settings say, as when a partition reaches its size.
fleet::Duration snapshotInterval(const Settings &settings, const JournalView &journal)
{
    const fleet::Duration retention = std::min(settings.m_journalRetention, journal.m_retention.m_observed.value_or(fleet::Duration::max()));
    return std::clamp(retention / snapshotsPerRetention, minSnapshotInterval, maxSnapshotInterval);
}

}

SchedulingDuty::SchedulingDuty(const Settings &settings, const Timing &timing, Ports &ports, const OperatorConfigView &operatorConfig, JournalView &journal)
    : m_settings(settings)
    , m_timing(timing)
    , m_ports(ports)
    , m_operatorConfig(operatorConfig)
    , m_journal(journal)
{
}

dispatch::Environment SchedulingDuty::environment() const
{
    return {m_journal.m_journalState, m_operatorConfig.m_catalog, m_operatorConfig.m_zonesOut, m_operatorConfig.m_waves};
}

bool SchedulingDuty::isConfigCurrent(fleet::Now now) const
{
    return m_operatorConfig.hasCatalog() && viewAge(m_operatorConfig, now.m_boot) < m_timing.m_maxConfirmationAge;
}

bool SchedulingDuty::needsJournalRead(fleet::Now now) const
{
    if (m_journal.m_readsOpen > 0) {
        return false;
    }
    const bool isFollowing = m_phase == DutyPhase::Following;
    const bool isSearchingHolder = isFollowing && m_hasReadJournal && shouldReadJournal(m_holderMonitor, m_settings, m_journal, now);
    const bool mustReadToEnd = m_phase == DutyPhase::Holding || isSearchingHolder;
    const bool hasMore = mustReadToEnd && m_knownJournalEnd > m_journal.m_nextOffset;
    return isSearchingHolder || hasMore || m_phase == DutyPhase::Confirming;
}

fleet::Duration SchedulingDuty::storeSilence(fleet::Now now) const
{
    return now.m_boot - std::max(m_appendAnsweredAt, m_journal.m_lastAnswerAt);
}

void SchedulingDuty::broadcast(const PeerMessage &message)
{
    for (const auto &[id, instance] : m_journal.m_journalState.m_instances) {
        if (id != m_settings.m_instance) {
            m_ports.sendDatagram(instance.m_peerAddress, signPeerMessage(message, instance.m_peerKey));
        }
    }
}

void SchedulingDuty::sendHeartbeats(fleet::Now now)
{
    const bool isFirstReport = storeSilence(now) > storeSilenceLimit && !m_hasReportedStoreSilence;
    if (now.m_boot - m_lastBroadcastAt < heartbeatInterval && !isFirstReport) {
        return;
    }
    m_hasReportedStoreSilence = storeSilence(now) > storeSilenceLimit;
    m_lastBroadcastAt = now.m_boot;
    PeerMessage message {m_settings.m_instance, m_settings.m_incarnation, m_state.m_token, std::max(m_journal.m_nextOffset, m_lastAppendEnd), 0, false, true};
    message.m_storeSilenceMs = static_cast<std::uint32_t>(storeSilence(now).count());
    broadcast(message);
}

void SchedulingDuty::recordJournalEnd(std::uint64_t end)
{
    m_knownJournalEnd = std::max(m_knownJournalEnd, end);
}

void SchedulingDuty::onPeerMessage(const PeerMessage &message, fleet::Now now)
{
    recordJournalEnd(message.m_journalEnd);
    m_lastMessageAt[message.m_from] = now.m_boot;
    const fleet::FencingToken knownToken = m_journal.m_journalState.m_holder.m_token;
    if (m_phase == DutyPhase::Holding && message.m_token > m_state.m_token) {
        stepDown("another instance says that it holds the duty", now);
    }
    if (!message.m_isResigning && message.m_storeSilenceMs < maxSilenceToTakeOver.count()) {
        m_lastServedAt[message.m_from] = now.m_boot;
    }
    if (message.m_token.m_value > 0 && message.m_token >= knownToken) {
        onHolderMessage(m_holderMonitor, message, now);
        m_holderHeardAt = now.m_boot;
        m_journal.m_holderReportedEnd = message.m_journalEnd;
    }
    if (message.m_requestsAnswer) {
        const auto sender = m_journal.m_journalState.m_instances.find(message.m_from);
        if (sender != m_journal.m_journalState.m_instances.end() && sender->second.m_incarnation == message.m_incarnation) {
            PeerMessage answer {m_settings.m_instance, m_settings.m_incarnation, {}, m_journal.m_nextOffset, 0, m_isStopping, false};
            answer.m_storeSilenceMs = static_cast<std::uint32_t>(std::clamp<std::int64_t>(storeSilence(now).count(), 0, maxReportedSilenceMs));
            m_ports.sendDatagram(sender->second.m_peerAddress, signPeerMessage(answer, sender->second.m_peerKey));
        }
    }
}

void SchedulingDuty::claim(fleet::Now now)
{
    m_phase = DutyPhase::Claiming;
    m_writer = journal::Writer();
    m_writer.m_producer = producer;
    // The store may have seen higher tokens, if the records of their claims expired before they were read here.
    m_writer.m_epoch = m_journal.m_journalState.m_holder.m_token.m_value + (std::uint64_t {1} << std::min(m_refusedClaims, maxTokenDoublings));
    journal::enqueue(m_writer, journal::encode(journal::HolderClaimed {m_settings.m_instance, m_settings.m_incarnation, {m_writer.m_epoch}}), 0);
    m_ports.log(logging::Line("duty", "claim")
                    .add("token", m_writer.m_epoch)
                    .add("holder", m_journal.m_journalState.m_holder.m_instance.value())
                    .add("journal_end", m_journal.m_nextOffset)
                    .add("unheard_ms", now.m_boot - m_holderMonitor.m_lastMessageAt)
                    .add("journal_silent_ms", now.m_boot - m_journal.m_lastHolderRecordAt)
                    .add("holder_without_store", m_holderMonitor.m_isStoreUnreachable),
                now);
    m_lastAppendAt = now.m_boot;
}

void SchedulingDuty::startHolding(fleet::Now now)
{
    m_phase = DutyPhase::Holding;
    m_heldSince = now.m_boot;
    m_dutyConfirmedAt = now.m_boot;
    m_state = dispatch::State();
    m_state.m_settings = m_settings.m_dispatch;
    m_state.m_token = m_journal.m_journalState.m_holder.m_token;
    m_workerList = WorkerListView();
    m_workerList.m_nextReadAt = now.m_boot;
    resetSnapshots();
    m_snapshotWriter.m_producer = snapshotProducer;
    m_snapshotWriter.m_epoch = m_state.m_token.m_value;
    if (isIncomplete(m_journal)) {
        // No instance that has the missing records has shown itself; from here on, this state is the one that counts.
        m_journal.m_missingBefore.reset();
        m_lastSnapshotAt = now.m_boot - snapshotInterval(m_settings, m_journal);
    }
    const bool mayFormerHolderRenew = !m_journal.m_journalState.m_formerHolders.empty();
    const fleet::BootTime predecessorLeaseEnd
        = now.m_boot + (mayFormerHolderRenew ? m_settings.m_dispatch.m_holderAuthority : fleet::Duration(0)) + m_settings.m_dispatch.longestLease();
    dispatch::Outbox outbox = dispatch::takeOver(m_state, environment(), predecessorLeaseEnd, now);
    m_ports.log(logging::Line("duty", "hold")
                    .add("token", m_state.m_token.m_value)
                    .add("journal_end", m_journal.m_nextOffset)
                    .add("jobs", m_journal.m_journalState.m_jobs.size())
                    .add("former_holders", m_journal.m_journalState.m_formerHolders.size())
                    .add("open_runs", m_state.m_runs.size())
                    .add("former_leases_ms", predecessorLeaseEnd - now.m_boot),
                now);
    processOutbox(std::move(outbox), now);
}

void SchedulingDuty::stepDown(const std::string &why, fleet::Now now)
{
    m_ports.log(logging::Line("duty", "end").add("token", m_writer.m_epoch).add("why", why), now);
    const bool hasHeld = m_phase == DutyPhase::Holding || m_phase == DutyPhase::Resigning;
    if (hasHeld) {
        // The journal state may contain records of this instance that were never stored.
        resetJournalView(m_journal);
    }
    m_phase = DutyPhase::Following;
    m_writer = journal::Writer();
    resetSnapshots();
    m_state = dispatch::State();
    m_unconfirmedEnds.clear();
    m_claimNotBefore = now.m_boot + (hasHeld ? claimBackoff : lostRaceBackoff);
    m_holderMonitor.m_lastMessageAt = now.m_boot;
    m_holderMonitor.m_startedAt = now.m_boot;
}

void SchedulingDuty::onJournalRead(const journal::Changes &changes, std::optional<fleet::BootTime> readBefore, fleet::Now now)
{
    if (!m_lastSnapshotAt) {
        // The time of the last snapshot is not known. A quarter of the interval passes before this instance would write one, or no time
        // if records expire.
        const fleet::Duration interval = snapshotInterval(m_settings, m_journal);
        m_lastSnapshotAt = now.m_boot - (m_journal.m_retention.m_oldest > 0 ? interval : interval * 3 / 4);
    }
    if (changes.m_snapshotWritten && readBefore) {
        // The records that an instance reads first may be as old as the retention.
        m_lastSnapshotAt = std::max(*m_lastSnapshotAt, *readBefore);
    }
    if (!m_hasReadJournal) {
        m_hasReadJournal = true;
        m_holderMonitor.m_startedAt = now.m_boot;
    }
    if (changes.m_holderChanged) {
        m_refusedClaims = 0;
        onHolderChanged(m_holderMonitor, m_journal.m_journalState.m_holder.m_token, now);
    }
    const journal::HolderRecord &holder = m_journal.m_journalState.m_holder;
    const bool isOwnClaim = holder.m_instance == m_settings.m_instance && holder.m_incarnation == m_settings.m_incarnation && !holder.m_hasResigned;
    if (m_phase == DutyPhase::Confirming) {
        if (isOwnClaim && holder.m_token.m_value == m_writer.m_epoch) {
            startHolding(now);
        } else if (holder.m_token.m_value >= m_writer.m_epoch) {
            stepDown("another instance claimed first", now);
        } else if (m_journal.m_nextOffset >= m_lastAppendEnd) {
            // The store answered as for an earlier claim with this token, whose record has expired.
            ++m_refusedClaims;
            stepDown("the claim is not in the journal", now);
        }
    } else if (m_phase == DutyPhase::Holding && holder.m_token.m_value != m_writer.m_epoch) {
        stepDown("another instance holds the duty", now);
    }
    if (m_phase == DutyPhase::Holding && changes.m_instanceStarted && m_journal.m_journalState.m_formerHolders.empty()) {
        dispatch::recordFormerHoldersEnded(m_state, now.m_boot + m_settings.m_dispatch.longestLease());
    }
    if (m_phase == DutyPhase::Holding && (!changes.m_accepted.empty() || !changes.m_cancelled.empty())) {
        std::vector<jobs::JobId> changed = changes.m_accepted;
        changed.insert(changed.end(), changes.m_cancelled.begin(), changes.m_cancelled.end());
        processOutbox(dispatch::onJobsChanged(m_state, environment(), changed, now), now);
    }
    if (m_phase == DutyPhase::Following) {
        claimIfDue(now);
    }
}

void SchedulingDuty::onRecordsExpired(fleet::Now now)
{
    const bool isOrBecomesHolder = m_phase != DutyPhase::Following && m_phase != DutyPhase::Resigning;
    if (isOrBecomesHolder && m_journal.m_needsSnapshot) {
        stepDown("the journal expired before it was read", now);
    }
}

void SchedulingDuty::onSnapshotStored(const journal::WriteOutcome &outcome, fleet::Now now)
{
    const bool isLast = !m_snapshotWriter.m_sent && m_snapshotWriter.m_queued.empty();
    if (outcome.m_stored.empty() || !isLast) {
        return;
    }
    m_lastSnapshotAt = now.m_boot;
    const std::uint64_t next = outcome.m_stored.back();
    journal::enqueue(m_writer, journal::encode(journal::SnapshotWritten {next}), 0);
    m_ports.log(logging::Line("journal", "snapshot-stored").add("journal_end", next).add("records", outcome.m_stored.size()), now);
}

/// Encodes a snapshot if one is due. While jobs run without a pause there is always a batch under way, so that the snapshot can't wait for a moment
/// without one.
void SchedulingDuty::encodeSnapshotIfDue(fleet::Now now)
{
    if (!m_lastSnapshotAt) {
        return;
    }
    const fleet::Duration age = now.m_boot - *m_lastSnapshotAt;
    const fleet::Duration interval = snapshotInterval(m_settings, m_journal);
    if (m_snapshotSlotState == SnapshotSlot::Unknown && age >= interval / 2) {
        m_snapshotSlotState = SnapshotSlot::Reading;
    }
    if (age < interval || m_snapshotSlotState != SnapshotSlot::Known || m_encodedSnapshot || m_snapshotWriter.m_sent) {
        return;
    }
    m_lastSnapshotAt = now.m_boot;
    m_snapshotSlot = journal::nextSlot(m_snapshotSlot);
    const std::uint64_t batch = m_state.m_pendingBatches.empty() ? 0 : m_state.m_pendingBatches.back().m_batch;
    const std::uint64_t next = m_journal.m_nextOffset;
    m_encodedSnapshot = EncodedSnapshot {journal::encodeSnapshot(m_journal.m_journalState, next, m_snapshotSlot), next, batch};
    writeEncodedSnapshot();
}

void SchedulingDuty::resetSnapshots()
{
    m_snapshotWriter = journal::Writer();
    m_snapshotSlotState = SnapshotSlot::Unknown;
    m_encodedSnapshot.reset();
}

bool SchedulingDuty::needsSnapshotHead() const
{
    return m_phase == DutyPhase::Holding && m_snapshotSlotState == SnapshotSlot::Reading;
}

void SchedulingDuty::onSnapshotsRead(const std::vector<store::KeyedRecord> &records, fleet::Now now)
{
    if (needsSnapshotHead()) {
        // The former holder may have had the next slot under way, which may still become the newest snapshot.
        m_snapshotSlot = journal::nextSlot(journal::newestSlot(records).value_or(0));
        m_snapshotSlotState = SnapshotSlot::Known;
        encodeSnapshotIfDue(now);
    }
}

void SchedulingDuty::writeEncodedSnapshot()
{
    const bool isStored = m_encodedSnapshot && (m_state.m_pendingBatches.empty() || m_state.m_pendingBatches.front().m_batch > m_encodedSnapshot->m_batch);
    if (!isStored) {
        return;
    }
    for (store::KeyedRecord &record : m_encodedSnapshot->m_records) {
        journal::enqueueKeyed(m_snapshotWriter, std::move(record.m_key), std::move(record.m_value), m_encodedSnapshot->m_next);
    }
    m_encodedSnapshot.reset();
}

void SchedulingDuty::onAppendEnded(const AppendTag &tag, fleet::BootTime sentAt, const store::AppendResult &result, fleet::Now now)
{
    if (tag.m_writer == WriterKind::Snapshots) {
        if (tag.m_epoch == m_snapshotWriter.m_epoch && m_phase == DutyPhase::Holding) {
            onSnapshotStored(journal::onAppendEnded(m_snapshotWriter, tag.m_sequence, sentAt, result, now.m_boot), now);
        }
        return;
    }
    if (m_phase == DutyPhase::Following || tag.m_epoch != m_writer.m_epoch) {
        return;
    }
    const journal::WriteOutcome outcome = journal::onAppendEnded(m_writer, tag.m_sequence, sentAt, result, now.m_boot);
    if (outcome.m_isFenced) {
        m_refusedClaims += m_phase == DutyPhase::Claiming ? 1 : 0;
        stepDown("fenced by the store", now);
        return;
    }
    if (outcome.m_stored.empty()) {
        return;
    }
    m_dutyConfirmedAt = std::max(m_dutyConfirmedAt, sentAt);
    m_appendAnsweredAt = now.m_boot;
    m_lastAppendEnd = outcome.m_end;
    if (outcome.m_first == m_journal.m_nextOffset && m_phase == DutyPhase::Holding) {
        // These records are already applied to the journal state.
        m_journal.m_nextOffset = outcome.m_end;
    } else {
        recordJournalEnd(outcome.m_first);
    }
    if (m_phase == DutyPhase::Claiming) {
        m_phase = DutyPhase::Confirming;
        return;
    }
    const std::uint64_t batch = *std::max_element(outcome.m_stored.begin(), outcome.m_stored.end());
    std::erase_if(m_unconfirmedEnds, [&](const auto &entry) {
        return entry.second <= batch;
    });
    if (m_phase == DutyPhase::Holding && batch > 0) {
        processOutbox(dispatch::onStored(m_state, environment(), batch, now), now);
        writeEncodedSnapshot();
    }
}

/// Logs the entries of other writers that are new since the last read; an entry that is written again at each heartbeat is logged once.
void SchedulingDuty::logRefusals(const workers::WorkerListRead &read, fleet::Now now)
{
    std::map<fleet::WorkerId, std::string> &refusedEntries = m_workerList.m_refusedEntries;
    if (read.m_isFullRead) {
        refusedEntries.clear();
    }
    int refused = 0;
    for (const workers::WorkerListChange &change : read.m_changes) {
        if (change.m_refusal.empty()) {
            refusedEntries.erase(change.m_worker);
        } else if (std::exchange(refusedEntries[change.m_worker], change.m_refusal) != change.m_refusal && ++refused <= maxRefusalLines) {
            m_ports.log(logging::Line("worker-list", "entry-refused", logging::Level::Warning).add("key", change.m_worker.value()).add("why", change.m_refusal),
                        now);
        }
    }
    if (refused > maxRefusalLines) {
        m_ports.log(logging::Line("worker-list", "entries-refused", logging::Level::Warning).add("more", refused - maxRefusalLines), now);
    }
}

void SchedulingDuty::onWorkerListRead(const WorkerListReadEnded &event, fleet::Now now)
{
    if (m_phase != DutyPhase::Holding) {
        return;
    }
    const bool hasAdvanced = applyWorkerListRead(m_workerList, event.m_read, event.m_sentAt, now.m_boot);
    if (event.m_read.m_outcome != store::ReadOutcome::Read) {
        return;
    }
    logRefusals(event.m_read, now);
    if (store::isBehind(m_workerList.m_position)) {
        m_ports.log(logging::Line("worker-list", "read-in-part")
                        .add("full", event.m_read.m_isFullRead)
                        .add("next", event.m_read.m_next)
                        .add("end", event.m_read.m_end)
                        .add("workers", m_workerList.m_registrations.size()),
                    now);
    }
    if (hasAdvanced) {
        processOutbox(dispatch::onListRead(m_state, environment(), registrationsOf(m_workerList), now), now);
    }
    readWorkerListIfDue(now);
}

void SchedulingDuty::readWorkerListIfDue(fleet::Now now)
{
    if (m_phase == DutyPhase::Holding && !m_workerList.m_readSentAt && now.m_boot >= m_workerList.m_nextReadAt) {
        m_workerList.m_readSentAt = now.m_boot;
        m_workerList.m_nextReadAt = now.m_boot + workerListReadInterval;
        m_ports.readWorkerList(m_workerList.m_position.m_next, now.m_boot);
    }
}

void SchedulingDuty::onStartEnded(const StartEnded &event, fleet::Now now)
{
    if (m_phase == DutyPhase::Holding && event.m_order.m_token == m_state.m_token) {
        processOutbox(dispatch::onStartEnded(m_state, environment(), event.m_order, event.m_result, now), now);
    }
}

void SchedulingDuty::onStopEnded(const StopEnded &event, fleet::Now now)
{
    if (m_phase == DutyPhase::Holding && event.m_order.m_token == m_state.m_token) {
        processOutbox(dispatch::onStopEnded(m_state, environment(), event.m_order, event.m_result, now), now);
    }
}

void SchedulingDuty::onPollEnded(const PollEnded &event, fleet::Now now)
{
    if (m_phase == DutyPhase::Holding && event.m_order.m_token == m_state.m_token) {
        processOutbox(dispatch::onPollEnded(m_state, environment(), event.m_order, event.m_sentAt, event.m_result, now), now);
    }
}

void SchedulingDuty::onAdviceEnded(const AdviceEnded &event, fleet::Now now)
{
    if (m_phase == DutyPhase::Holding && event.m_question.m_token == m_state.m_token) {
        processOutbox(dispatch::onAdviceEnded(m_state, environment(), event.m_question, event.m_sentAt, event.m_answer, now), now);
    }
}

void SchedulingDuty::onUpkeepEnded(const UpkeepEnded &event, fleet::Now now)
{
    if (m_phase == DutyPhase::Holding && event.m_order.m_token == m_state.m_token) {
        processOutbox(dispatch::onUpkeepEnded(m_state, environment(), event.m_order, event.m_outcome, now), now);
    }
}

void SchedulingDuty::onWaveReported(const WaveReported &event, fleet::Now now)
{
    if (m_phase == DutyPhase::Holding && event.m_token == m_state.m_token) {
        processOutbox(dispatch::onWaveReported(m_state, environment(), event.m_report, event.m_isStored, now), now);
    }
}

void SchedulingDuty::onCatalogChanged(fleet::Now now)
{
    if (m_phase == DutyPhase::Holding) {
        processOutbox(dispatch::onJobsChanged(m_state, environment(), {}, now), now);
    }
}

void SchedulingDuty::onBoundsChanged()
{
    m_state.m_settings = m_settings.m_dispatch;
}

void SchedulingDuty::claimIfDue(fleet::Now now)
{
    const bool isCurrent = isConfigCurrent(now);
    updateDutyFree(m_holderMonitor, m_journal, isCurrent, now);
    if (isIncomplete(m_journal)) {
        // An instance with the whole journal state claims sooner.
        const fleet::BootTime notBefore = std::max(m_holderHeardAt, m_journal.m_incompleteSince) + m_settings.m_dispatch.m_holderAuthority;
        if (now.m_boot < notBefore) {
            return;
        }
        // The last holder may have stored a snapshot without the record that announces it.
        if (m_journal.m_snapshotAsOf.value_or(fleet::BootTime()) < notBefore) {
            m_journal.m_needsSnapshot = true;
            return;
        }
    }
    const bool mayClaim = m_hasReadJournal && !m_isStopping && now.m_boot >= m_claimNotBefore && isCurrent;
    if (mayClaim && m_knownJournalEnd <= m_journal.m_nextOffset && shouldClaim(m_holderMonitor, m_settings, m_journal, now)) {
        claim(now);
    }
}

void SchedulingDuty::onTick(fleet::Now now)
{
    if (m_phase == DutyPhase::Resigning) {
        broadcastResignation(now);
        if (!m_isStopping && isIdle()) {
            m_phase = DutyPhase::Following;
        }
        return;
    }
    if (m_phase == DutyPhase::Following) {
        claimIfDue(now);
        return;
    }
    if (m_phase != DutyPhase::Holding) {
        return;
    }
    // A journal read without a newer claim proves that this instance is the holder, just as an append does.
    m_dutyConfirmedAt = std::max(m_dutyConfirmedAt, m_journal.m_asOf.value_or(m_dutyConfirmedAt));
    m_state.m_mayRenewLeases = now.m_boot - m_dutyConfirmedAt < m_settings.m_dispatch.m_holderAuthority;
    m_state.m_isConfigCurrent = isConfigCurrent(now);
    processOutbox(dispatch::onTick(m_state, environment(), suspectedZones(now), now), now);
    if (m_phase == DutyPhase::Holding) {
        sendHeartbeats(now);
        encodeSnapshotIfDue(now);
        handOverIfDue(now);
    }
    const bool isAnyPeerSilent = std::any_of(m_lastMessageAt.begin(), m_lastMessageAt.end(), [&](const auto &entry) {
        return now.m_boot - entry.second > answerTimeout && now.m_boot - entry.second < recentAnswerWindow;
    });
    const fleet::Duration interval = isAnyPeerSilent ? heartbeatRecordInterval : idleHeartbeatRecordInterval;
    if (m_phase == DutyPhase::Holding && !m_writer.m_sent && now.m_boot - m_lastAppendAt >= interval) {
        m_lastAppendAt = now.m_boot;
        journal::enqueue(m_writer, journal::encode(journal::HolderHeartbeat {m_state.m_token}), 0);
    }
    readWorkerListIfDue(now);
}

void SchedulingDuty::runSchedulingCycle(fleet::Now now)
{
    if (m_phase == DutyPhase::Holding) {
        m_state.m_isConfigCurrent = isConfigCurrent(now);
        processOutbox(dispatch::runSchedulingCycle(m_state, environment(), now), now);
    }
}

void SchedulingDuty::resign(fleet::Now now)
{
    if (m_phase == DutyPhase::Holding) {
        m_ports.log(logging::Line("duty", "resign").add("token", m_state.m_token.m_value), now);
        giveUp(now);
    } else if (m_phase != DutyPhase::Resigning) {
        m_phase = DutyPhase::Following;
    }
    m_isStopping = true;
}

void SchedulingDuty::giveUp(fleet::Now now)
{
    journal::enqueue(m_writer, journal::encode(journal::HolderResigned {m_state.m_token, {}}), 0);
    m_state = dispatch::State();
    m_encodedSnapshot.reset();
    m_phase = DutyPhase::Resigning;
    m_lastBroadcastAt = fleet::BootTime();
    broadcastResignation(now);
}

/// True if an instance with enough processor time for the duty has answered recently and is served by the store.
bool SchedulingDuty::isStrongInstanceReady(fleet::Now now) const
{
    return std::any_of(m_lastServedAt.begin(), m_lastServedAt.end(), [&](const auto &entry) {
        const auto instance = m_journal.m_journalState.m_instances.find(entry.first);
        return now.m_boot - entry.second <= recentHeartbeatAnswer && instance != m_journal.m_journalState.m_instances.end()
            && hasEnoughProcessorTime(instance->second.m_milliCores, m_journal);
    });
}

/// Hands the duty over to an instance with far more processor time. An instance with little time takes the duty when no other can,
/// and every plan and order then takes several times as long.
void SchedulingDuty::handOverIfDue(fleet::Now now)
{
    const bool mayHandOver = now.m_boot >= m_handOverNotBefore && now.m_boot - m_heldSince >= minTimeToHandOver;
    if (!mayHandOver || hasEnoughProcessorTime(m_settings.m_milliCores, m_journal) || storeSilence(now) > storeSilenceLimit || !isStrongInstanceReady(now)) {
        return;
    }
    m_handOverNotBefore = now.m_boot + handOverInterval;
    m_claimNotBefore = now.m_boot + claimBackoff;
    m_ports.log(logging::Line("duty", "hand-over").add("token", m_state.m_token.m_value).add("milli_cores", m_settings.m_milliCores), now);
    giveUp(now);
}

void SchedulingDuty::abandon(fleet::Now now)
{
    if (m_phase != DutyPhase::Following) {
        stepDown("unexpected error", now);
    }
}

/// Returns the zones other than this one in which no instance has answered within zoneTimeout.
std::set<fleet::ZoneId> SchedulingDuty::suspectedZones(fleet::Now now) const
{
    std::set<fleet::ZoneId> suspected;
    std::set<fleet::ZoneId> responsive {m_settings.m_zone};
    for (const auto &[id, instance] : m_journal.m_journalState.m_instances) {
        const auto answered = m_lastMessageAt.find(id);
        const fleet::BootTime since = answered == m_lastMessageAt.end() ? m_heldSince : std::max(m_heldSince, answered->second);
        (now.m_boot - since < zoneTimeout ? responsive : suspected).insert(instance.m_zone);
    }
    std::erase_if(suspected, [&](const fleet::ZoneId &zone) {
        return responsive.contains(zone);
    });
    return suspected;
}

/// Broadcasts the resignation, so that the others look for its record in the journal at once.
void SchedulingDuty::broadcastResignation(fleet::Now now)
{
    if (isIdle() || now.m_boot - m_lastBroadcastAt < resignationInterval) {
        return;
    }
    m_lastBroadcastAt = now.m_boot;
    const PeerMessage message {m_settings.m_instance, m_settings.m_incarnation, {m_writer.m_epoch}, m_lastAppendEnd, 0, true, false};
    broadcast(message);
}

void SchedulingDuty::processOutbox(dispatch::Outbox &&outbox, fleet::Now now)
{
    for (const logging::Line &line : outbox.m_log) {
        m_ports.log(line, now);
    }
    m_runCounts += outbox.m_counts;
    m_workCounts += outbox.m_work;
    if (outbox.m_isFenced) {
        stepDown("fenced by a worker", now);
        return;
    }
    for (const jobs::JobId &job : outbox.m_endedJobs) {
        m_unconfirmedEnds[job] = outbox.m_batch;
    }
    for (const journal::Record &record : outbox.m_records) {
        // Only the last record carries the batch number, since a batch may be stored in several appends.
        const bool isLast = &record == &outbox.m_records.back();
        journal::enqueue(m_writer, journal::encode(record), isLast ? outbox.m_batch : 0);
        m_lastAppendAt = now.m_boot;
    }
    for (const workers::StartOrder &order : outbox.m_starts) {
        m_ports.start(order);
    }
    for (const workers::StopOrder &order : outbox.m_stops) {
        m_ports.stop(order);
    }
    for (const workers::PollOrder &order : outbox.m_polls) {
        m_ports.poll(order, now.m_boot);
    }
    for (machines::UpkeepOrder &order : outbox.m_upkeeps) {
        order.m_holder = m_settings.m_instance;
        m_ports.orderUpkeep(order);
    }
    for (const machines::WaveReport &report : outbox.m_reports) {
        m_ports.reportWave(report, m_state.m_token);
    }
    for (const workers::AdviceQuestion &question : outbox.m_questions) {
        m_ports.requestAdvice(question, now.m_boot);
    }
}

void SchedulingDuty::addStats(InstanceStats &stats) const
{
    stats.m_activeJobs = m_state.m_activeJobs.size();
    stats.m_openRuns = m_state.m_runs.size();
    stats.m_awaitedStarts = m_state.m_awaitedStarts.counted();
    stats.m_workers = m_state.m_workers.size();
    stats.m_silentWorkers = static_cast<std::size_t>(std::count_if(m_state.m_workers.begin(), m_state.m_workers.end(), [](const auto &entry) {
        return entry.second.m_unansweredCalls > 0;
    }));
    stats.m_unstoredBatches = m_state.m_pendingBatches.size();
    stats.m_waitingSteps = m_state.m_waitingSteps.size();
    stats.m_waitingStepsThatWouldFit = dispatch::countStepsThatWouldFit(m_state);
    stats.m_calibration = m_state.m_calibration;
    stats.m_runTimeWorkers = m_state.m_runTimes.m_workers.size();
    stats.m_runTimeClasses = m_state.m_runTimes.m_classes.size();
    stats.m_unansweredStarts = dispatch::countUnansweredStarts(m_state);
    stats.m_runCounts = m_runCounts;
    stats.m_workCounts = m_workCounts;
}

std::vector<dispatch::AccountStats> SchedulingDuty::accountStats() const
{
    return m_phase == DutyPhase::Holding ? dispatch::measureAccounts(m_state, m_journal.m_journalState, m_operatorConfig.m_catalog)
                                         : std::vector<dispatch::AccountStats>();
}

DutyPhase SchedulingDuty::phase() const
{
    return m_phase;
}

journal::Writer &SchedulingDuty::writer()
{
    return m_writer;
}

journal::Writer &SchedulingDuty::snapshotWriter()
{
    return m_snapshotWriter;
}

bool SchedulingDuty::isIdle() const
{
    return !m_writer.m_sent && m_writer.m_queued.empty();
}

const HolderMonitor &SchedulingDuty::holderMonitor() const
{
    return m_holderMonitor;
}

const std::map<jobs::JobId, std::uint64_t> &SchedulingDuty::unconfirmedEnds() const
{
    return m_unconfirmedEnds;
}

}
