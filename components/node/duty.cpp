#include "components/node/duty.hpp"

#include "components/dispatch/step.hpp"
#include "components/journal/snapshot.hpp"
#include "components/node/figures.hpp"
#include "components/node/ports.hpp"

#include <algorithm>
#include <utility>

namespace node
{

namespace
{

using namespace std::chrono_literals;

constexpr const char *producer = "scheduler";
constexpr const char *snapshotProducer = "snapshots";
/// Snapshots within the time that the store keeps a record, so that one may fail.
constexpr int snapshotsPerRetention = 4;
/// A process that starts reads the newest snapshot and what was recorded since.
constexpr fleet::Duration longestSnapshotInterval {15'000};
/// The holder sends a message to every instance this often.
constexpr fleet::Duration beatInterval {100};
/// A holder that resigns says so this often until its last record is stored.
constexpr fleet::Duration resignInterval {40};
/// The holder writes to the journal at least this often while an instance does not answer, and otherwise.
constexpr fleet::Duration aliveInterval {350};
constexpr fleet::Duration quietAliveInterval {2000};
/// An instance that answered within the first time but not within the second may not hear the holder.
constexpr fleet::Duration knownAlive {10'000};
constexpr fleet::Duration answerSilence {200};
/// Beats without an answer from any instance of a zone before the zone may be cut off: three and their way.
constexpr fleet::Duration zoneSilence {350};
/// After losing the duty, or a race for it, an instance waits this long before it claims again.
constexpr fleet::Duration claimPause {3000};
constexpr fleet::Duration lostClaimPause {300};
constexpr fleet::Duration listInterval {500};
fleet::Duration snapshotInterval(const Settings &settings)
{
    return std::min(settings.m_journalRetention / snapshotsPerRetention, longestSnapshotInterval);
}

}

Duty::Duty(const Settings &settings, Ports &ports, const OperatorView &operators, JournalView &journal)
    : m_settings(settings)
    , m_ports(ports)
    , m_operators(operators)
    , m_journal(journal)
{
}

dispatch::Surroundings Duty::around() const
{
    return {m_journal.m_ledger, m_operators.m_catalog, m_operators.m_zonesOut, m_operators.m_waves};
}

bool Duty::wantsRead(fleet::Now now) const
{
    if (m_journal.m_readsOpen > 0) {
        return false;
    }
    const bool isFollowing = m_phase == DutyPhase::Following;
    const bool looksForHolder = isFollowing && m_isStarted && wantsLookAtJournal(m_watch, m_settings, m_journal, now);
    const bool isAtEnd = m_phase == DutyPhase::Holding || looksForHolder;
    const bool hasMore = isAtEnd && m_knownEnd > m_journal.m_next;
    return looksForHolder || hasMore || m_phase == DutyPhase::Confirming;
}

fleet::Duration Duty::storeSilence(fleet::Now now) const
{
    return now.m_boot - std::max(m_appendAnsweredAt, m_journal.m_answeredAt);
}

void Duty::tellOthers(const PeerMessage &message)
{
    for (const auto &[id, instance] : m_journal.m_ledger.m_instances) {
        if (id != m_settings.m_instance) {
            m_ports.sendDatagram(instance.m_peerAddress, sealPeerMessage(message, instance.m_peerKey));
        }
    }
}

void Duty::sendBeats(fleet::Now now)
{
    const bool isNews = storeSilence(now) > storeSilenceLimit && !m_toldSilence;
    if (now.m_boot - m_lastBeatAt < beatInterval && !isNews) {
        return;
    }
    m_toldSilence = storeSilence(now) > storeSilenceLimit;
    m_lastBeatAt = now.m_boot;
    PeerMessage message {m_settings.m_instance, m_settings.m_incarnation, m_state.m_token, std::max(m_journal.m_next, m_ownEnd), 0, false, true};
    message.m_storeSilenceMs = static_cast<std::uint32_t>(storeSilence(now).count());
    tellOthers(message);
}

void Duty::noteJournalEnd(std::uint64_t end)
{
    m_knownEnd = std::max(m_knownEnd, end);
}

void Duty::onPeerMessage(const PeerMessage &message, fleet::Now now)
{
    noteJournalEnd(message.m_journalEnd);
    m_answeredAt[message.m_from] = now.m_boot;
    const fleet::FencingToken known = m_journal.m_ledger.m_holder.m_token;
    if (m_phase == DutyPhase::Holding && message.m_token > m_state.m_token) {
        stepDown("another instance says that it holds the duty", now);
    }
    if (message.m_token.m_value > 0 && message.m_token >= known) {
        noteMessage(m_watch, message, now);
        m_journal.m_holderNewsFrom = message.m_journalEnd;
    }
    if (message.m_wantsAnswer) {
        const auto sender = m_journal.m_ledger.m_instances.find(message.m_from);
        if (sender != m_journal.m_ledger.m_instances.end() && sender->second.m_incarnation == message.m_incarnation) {
            const PeerMessage answer {m_settings.m_instance, m_settings.m_incarnation, {}, m_journal.m_next, 0, false, false};
            m_ports.sendDatagram(sender->second.m_peerAddress, sealPeerMessage(answer, sender->second.m_peerKey));
        }
    }
}

void Duty::claim(fleet::Now now)
{
    m_phase = DutyPhase::Claiming;
    m_writer = journal::Writer();
    m_writer.m_producer = producer;
    m_writer.m_epoch = m_journal.m_ledger.m_holder.m_token.m_value + 1;
    journal::enqueue(m_writer, journal::encode(journal::HolderClaimed {m_settings.m_instance, m_settings.m_incarnation, {m_writer.m_epoch}}), 0);
    m_ports.log(logging::Line("duty", "claim")
                    .add("token", m_writer.m_epoch)
                    .add("holder", m_journal.m_ledger.m_holder.m_instance.value())
                    .add("journal_end", m_journal.m_next)
                    .add("unheard_ms", now.m_boot - m_watch.m_heardAt)
                    .add("journal_silent_ms", now.m_boot - m_journal.m_holderSeenAt)
                    .add("holder_without_store", m_watch.m_isWithoutStore),
                now);
    m_lastAppendAt = now.m_boot;
}

void Duty::begin(fleet::Now now)
{
    m_phase = DutyPhase::Holding;
    m_heldSince = now.m_boot;
    m_lastStoreContact = now.m_boot;
    m_state = dispatch::State();
    m_state.m_settings = m_settings.m_dispatch;
    m_state.m_token = m_journal.m_ledger.m_holder.m_token;
    m_list.clear();
    m_listNext.reset();
    m_nextListReadAt = now.m_boot;
    m_snapshotWriter = journal::Writer();
    m_snapshotWriter.m_producer = snapshotProducer;
    m_snapshotWriter.m_epoch = m_state.m_token.m_value;
    m_ports.log(logging::Line("duty", "hold")
                    .add("token", m_state.m_token.m_value)
                    .add("journal_end", m_journal.m_next)
                    .add("jobs", m_journal.m_ledger.m_jobs.size())
                    .add("former_holders", m_journal.m_ledger.m_formerHolders.size()),
                now);
    const bool mayFormerRenew = !m_journal.m_ledger.m_formerHolders.empty();
    const fleet::BootTime foreignLeaseUntil
        = now.m_boot + (mayFormerRenew ? m_settings.m_dispatch.m_holderAuthority : fleet::Duration(0)) + m_settings.m_dispatch.longestLease();
    send(dispatch::takeOver(m_state, around(), foreignLeaseUntil, now), now);
}

void Duty::stepDown(const std::string &why, fleet::Now now)
{
    m_ports.log(logging::Line("duty", "end").add("token", m_writer.m_epoch).add("why", why), now);
    const bool hasHeld = m_phase == DutyPhase::Holding;
    if (hasHeld) {
        // The ledger may hold records that were never stored.
        beginAnew(m_journal);
    }
    m_phase = DutyPhase::Following;
    m_writer = journal::Writer();
    m_snapshotWriter = journal::Writer();
    m_state = dispatch::State();
    m_unconfirmed.clear();
    m_notBefore = now.m_boot + (hasHeld ? claimPause : lostClaimPause);
    m_watch.m_heardAt = now.m_boot;
    m_watch.m_since = now.m_boot;
}

void Duty::onJournalRead(const journal::Changes &changes, fleet::Now now)
{
    if (!m_snapshotAt) {
        // Nothing is known of the last one yet; a part of the interval passes before this instance would write one.
        m_snapshotAt = now.m_boot - snapshotInterval(m_settings) * 3 / 4;
    }
    if (changes.m_snapshotWritten) {
        m_snapshotAt = now.m_boot;
    }
    if (!m_isStarted) {
        m_isStarted = true;
        m_watch.m_since = now.m_boot;
    }
    if (changes.m_holderChanged) {
        noteHolder(m_watch, m_journal.m_ledger.m_holder.m_token, now);
    }
    const journal::HolderRecord &holder = m_journal.m_ledger.m_holder;
    const bool isMine = holder.m_instance == m_settings.m_instance && holder.m_incarnation == m_settings.m_incarnation && !holder.m_hasResigned;
    if (m_phase == DutyPhase::Confirming) {
        if (isMine && holder.m_token.m_value == m_writer.m_epoch) {
            begin(now);
        } else if (holder.m_token.m_value >= m_writer.m_epoch) {
            stepDown("another instance claimed first", now);
        }
    } else if (m_phase == DutyPhase::Holding && holder.m_token.m_value != m_writer.m_epoch) {
        stepDown("another instance holds the duty", now);
    }
    if (m_phase == DutyPhase::Holding && changes.m_instanceStarted && m_journal.m_ledger.m_formerHolders.empty()) {
        dispatch::noteFormerHoldersEnded(m_state, now.m_boot + m_settings.m_dispatch.longestLease());
    }
    if (m_phase == DutyPhase::Holding && (!changes.m_accepted.empty() || !changes.m_cancelled.empty())) {
        std::vector<jobs::JobId> changed = changes.m_accepted;
        changed.insert(changed.end(), changes.m_cancelled.begin(), changes.m_cancelled.end());
        send(dispatch::onJobsChanged(m_state, around(), changed, now), now);
    }
    if (m_phase == DutyPhase::Following) {
        claimIfFree(now);
    }
}

void Duty::onSnapshotStored(const journal::WriteOutcome &outcome, fleet::Now now)
{
    const bool isLast = !m_snapshotWriter.m_sent && m_snapshotWriter.m_queued.empty();
    if (outcome.m_stored.empty() || !isLast) {
        return;
    }
    m_snapshotAt = now.m_boot;
    const std::uint64_t next = outcome.m_stored.back();
    journal::enqueue(m_writer, journal::encode(journal::SnapshotWritten {next}), 0);
    m_ports.log(logging::Line("journal", "snapshot-stored").add("journal_end", next).add("records", outcome.m_stored.size()), now);
}

/// Only between batches does the ledger hold exactly what is stored up to one offset.
void Duty::writeSnapshotIfDue(fleet::Now now)
{
    const bool isDue = m_snapshotAt && now.m_boot - *m_snapshotAt >= snapshotInterval(m_settings);
    const bool isSettled = isIdle() && m_state.m_unstored.empty() && m_knownEnd <= m_journal.m_next && m_journal.m_readsOpen == 0;
    if (!isDue || !isSettled || m_snapshotWriter.m_sent) {
        return;
    }
    m_snapshotAt = now.m_boot;
    m_snapshotSlot = 1 - m_snapshotSlot;
    for (store::KeyedRecord &record : journal::encodeSnapshot(m_journal.m_ledger, m_journal.m_next, m_snapshotSlot)) {
        journal::enqueueKeyed(m_snapshotWriter, std::move(record.m_key), std::move(record.m_value), m_journal.m_next);
    }
}

void Duty::onAppendEnded(const AppendTag &tag, fleet::BootTime sentAt, const store::AppendResult &result, fleet::Now now)
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
        stepDown("fenced by the store", now);
        return;
    }
    if (outcome.m_stored.empty()) {
        return;
    }
    m_lastStoreContact = std::max(m_lastStoreContact, sentAt);
    m_appendAnsweredAt = now.m_boot;
    m_ownEnd = outcome.m_end;
    if (outcome.m_first == m_journal.m_next && m_phase == DutyPhase::Holding) {
        // The ledger has these records already.
        m_journal.m_next = outcome.m_end;
    } else {
        noteJournalEnd(outcome.m_first);
    }
    if (m_phase == DutyPhase::Claiming) {
        m_phase = DutyPhase::Confirming;
        return;
    }
    const std::uint64_t batch = *std::max_element(outcome.m_stored.begin(), outcome.m_stored.end());
    std::erase_if(m_unconfirmed, [&](const auto &entry) {
        return entry.second <= batch;
    });
    if (m_phase == DutyPhase::Holding && batch > 0) {
        send(dispatch::onStored(m_state, around(), batch, now), now);
    }
}

void Duty::onListRead(const ListReadEnded &event, fleet::Now now)
{
    m_listReadOpen = false;
    if (m_phase != DutyPhase::Holding) {
        return;
    }
    if (event.m_read.m_outcome == store::ReadOutcome::Expired) {
        m_listNext.reset();
        m_nextListReadAt = now.m_boot;
        return;
    }
    if (event.m_read.m_outcome != store::ReadOutcome::Read) {
        return;
    }
    if (event.m_read.m_isFullRead) {
        m_list.clear();
    }
    for (const workers::WorkerListChange &change : event.m_read.m_changes) {
        if (change.m_registration) {
            m_list[change.m_worker] = *change.m_registration;
        } else {
            m_list.erase(change.m_worker);
        }
    }
    m_listNext = event.m_read.m_next;
    std::vector<workers::Registration> registrations;
    for (const auto &[id, registration] : m_list) {
        registrations.push_back(registration);
    }
    send(dispatch::onListRead(m_state, around(), registrations, now), now);
}

void Duty::onStartEnded(const StartEnded &event, fleet::Now now)
{
    if (m_phase == DutyPhase::Holding && event.m_order.m_token == m_state.m_token) {
        send(dispatch::onStartEnded(m_state, around(), event.m_order, event.m_result, now), now);
    }
}

void Duty::onStopEnded(const StopEnded &event, fleet::Now now)
{
    if (m_phase == DutyPhase::Holding && event.m_order.m_token == m_state.m_token) {
        send(dispatch::onStopEnded(m_state, around(), event.m_order, event.m_result, now), now);
    }
}

void Duty::onLookEnded(const LookEnded &event, fleet::Now now)
{
    if (m_phase == DutyPhase::Holding && event.m_order.m_token == m_state.m_token) {
        send(dispatch::onLookEnded(m_state, around(), event.m_order, event.m_sentAt, event.m_result, now), now);
    }
}

void Duty::onAdviceEnded(const AdviceEnded &event, fleet::Now now)
{
    if (m_phase == DutyPhase::Holding && event.m_question.m_token == m_state.m_token) {
        send(dispatch::onAdviceEnded(m_state, around(), event.m_question, event.m_sentAt, event.m_answer, now), now);
    }
}

void Duty::onUpkeepEnded(const UpkeepEnded &event, fleet::Now now)
{
    if (m_phase == DutyPhase::Holding && event.m_order.m_token == m_state.m_token) {
        send(dispatch::onUpkeepEnded(m_state, around(), event.m_order, event.m_outcome, now), now);
    }
}

void Duty::onWaveReported(const WaveReported &event, fleet::Now now)
{
    if (m_phase == DutyPhase::Holding && event.m_token == m_state.m_token) {
        send(dispatch::onWaveReported(m_state, around(), event.m_report, event.m_isStored, now), now);
    }
}

void Duty::onCatalogChanged(fleet::Now now)
{
    if (m_phase == DutyPhase::Holding) {
        send(dispatch::onJobsChanged(m_state, around(), {}, now), now);
    }
}

void Duty::onBoundsChanged()
{
    m_state.m_settings = m_settings.m_dispatch;
}

void Duty::claimIfFree(fleet::Now now)
{
    noteFreedom(m_watch, m_journal, m_operators.hasCatalog(), now);
    const bool mayClaim = m_isStarted && !m_isStopping && now.m_boot >= m_notBefore && m_operators.hasCatalog();
    if (mayClaim && m_knownEnd <= m_journal.m_next && isTurnToClaim(m_watch, m_settings, m_journal, now)) {
        claim(now);
    }
}

void Duty::onTick(fleet::Now now)
{
    if (m_phase == DutyPhase::Resigning) {
        sayResigned(now);
        return;
    }
    if (m_phase == DutyPhase::Following) {
        claimIfFree(now);
        return;
    }
    if (m_phase != DutyPhase::Holding) {
        return;
    }
    // A read that shows no newer claim proves the duty as well as an append does.
    m_lastStoreContact = std::max(m_lastStoreContact, m_journal.m_asOf.value_or(m_lastStoreContact));
    m_state.m_mayRenew = now.m_boot - m_lastStoreContact < m_settings.m_dispatch.m_holderAuthority;
    send(dispatch::onTick(m_state, around(), unheardZones(now), now), now);
    if (m_phase == DutyPhase::Holding) {
        sendBeats(now);
        writeSnapshotIfDue(now);
    }
    if (m_phase == DutyPhase::Holding && m_journal.m_needsSnapshot) {
        stepDown("the journal expired before it was read", now);
        return;
    }
    const bool isSomeoneSilent = std::any_of(m_answeredAt.begin(), m_answeredAt.end(), [&](const auto &entry) {
        return now.m_boot - entry.second > answerSilence && now.m_boot - entry.second < knownAlive;
    });
    const fleet::Duration interval = isSomeoneSilent ? aliveInterval : quietAliveInterval;
    if (m_phase == DutyPhase::Holding && !m_writer.m_sent && now.m_boot - m_lastAppendAt >= interval) {
        m_lastAppendAt = now.m_boot;
        journal::enqueue(m_writer, journal::encode(journal::HolderHeartbeat {m_state.m_token}), 0);
    }
    if (!m_listReadOpen && now.m_boot >= m_nextListReadAt) {
        m_listReadOpen = true;
        m_nextListReadAt = now.m_boot + listInterval;
        m_ports.readList(m_listNext, now.m_boot);
    }
}

void Duty::settle(fleet::Now now)
{
    if (m_phase == DutyPhase::Holding) {
        send(dispatch::settle(m_state, around(), now), now);
    }
}

void Duty::resign(fleet::Now now)
{
    if (m_phase == DutyPhase::Holding) {
        journal::enqueue(m_writer, journal::encode(journal::HolderResigned {m_state.m_token, {}}), 0);
        m_ports.log(logging::Line("duty", "resign").add("token", m_state.m_token.m_value), now);
        m_state = dispatch::State();
        m_phase = DutyPhase::Resigning;
        m_lastBeatAt = fleet::BootTime();
        sayResigned(now);
    } else {
        m_phase = DutyPhase::Following;
    }
    m_isStopping = true;
}

/// Zones other than this one with instances of which none has answered lately.
std::set<fleet::ZoneId> Duty::unheardZones(fleet::Now now) const
{
    std::set<fleet::ZoneId> unheard;
    std::set<fleet::ZoneId> heard {m_settings.m_zone};
    for (const auto &[id, instance] : m_journal.m_ledger.m_instances) {
        const auto answered = m_answeredAt.find(id);
        const fleet::BootTime since = answered == m_answeredAt.end() ? m_heldSince : std::max(m_heldSince, answered->second);
        (now.m_boot - since < zoneSilence ? heard : unheard).insert(instance.m_zone);
    }
    std::erase_if(unheard, [&](const fleet::ZoneId &zone) {
        return heard.contains(zone);
    });
    return unheard;
}

/// The others look for the resignation in the journal at once.
void Duty::sayResigned(fleet::Now now)
{
    if (isIdle() || now.m_boot - m_lastBeatAt < resignInterval) {
        return;
    }
    m_lastBeatAt = now.m_boot;
    const PeerMessage message {m_settings.m_instance, m_settings.m_incarnation, {m_writer.m_epoch}, m_ownEnd, 0, true, false};
    tellOthers(message);
}

void Duty::send(dispatch::Outbox &&outbox, fleet::Now now)
{
    for (const logging::Line &line : outbox.m_log) {
        m_ports.log(line, now);
    }
    if (outbox.m_isFenced) {
        stepDown("fenced by a worker", now);
        return;
    }
    for (const journal::Record &record : outbox.m_records) {
        if (const auto *ended = std::get_if<journal::RunsEnded>(&record)) {
            for (const journal::EndedRun &run : ended->m_runs) {
                m_unconfirmed[run.m_run.m_task.m_step.m_job] = outbox.m_batch;
            }
        }
        // Only the last record of a batch names it, since the batch may be stored in several appends.
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
    for (const workers::PollOrder &order : outbox.m_looks) {
        m_ports.look(order, now.m_boot);
    }
    for (machines::UpkeepOrder &order : outbox.m_upkeeps) {
        order.m_holder = m_settings.m_instance;
        m_ports.upkeep(order);
    }
    for (const machines::WaveReport &report : outbox.m_reports) {
        m_ports.reportWave(report, m_state.m_token);
    }
    for (const workers::AdviceQuestion &question : outbox.m_questions) {
        m_ports.advise(question, now.m_boot);
    }
}

void Duty::addTo(Figures &figures) const
{
    figures.m_activeJobs = m_state.m_active.size();
    figures.m_openRuns = m_state.m_runs.size();
    figures.m_workers = m_state.m_workers.size();
    figures.m_silentWorkers = static_cast<std::size_t>(std::count_if(m_state.m_workers.begin(), m_state.m_workers.end(), [](const auto &entry) {
        return entry.second.m_silences > 0;
    }));
    figures.m_unstoredBatches = m_state.m_unstored.size();
}

DutyPhase Duty::phase() const
{
    return m_phase;
}

journal::Writer &Duty::writer()
{
    return m_writer;
}

journal::Writer &Duty::snapshotWriter()
{
    return m_snapshotWriter;
}

bool Duty::isIdle() const
{
    return !m_writer.m_sent && m_writer.m_queued.empty();
}

const std::map<jobs::JobId, std::uint64_t> &Duty::unconfirmed() const
{
    return m_unconfirmed;
}

}
