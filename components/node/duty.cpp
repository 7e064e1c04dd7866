#include "components/node/duty.hpp"

#include "components/dispatch/step.hpp"
#include "components/node/ports.hpp"

#include <algorithm>
#include <functional>
#include <utility>

namespace node
{

namespace
{

using namespace std::chrono_literals;

constexpr const char *producer = "scheduler";
/// A holder of which nothing was seen for this long is replaced.
constexpr fleet::Duration holderSilence {1500};
/// Instances claim at different times, so that one claim usually suffices.
constexpr fleet::Duration claimSpread {200};
/// The holder shows that it lives at least this often.
constexpr fleet::Duration aliveInterval {500};
constexpr fleet::Duration listInterval {500};

fleet::Duration spread(const fleet::InstanceId &instance)
{
    return fleet::Duration(static_cast<std::int64_t>(std::hash<std::string>()(instance.value()) % static_cast<std::size_t>(claimSpread.count())));
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
    return {m_journal.m_ledger, m_operators.m_catalog, m_operators.m_zonesOut};
}

bool Duty::isHolderSilent(fleet::Now now) const
{
    const journal::HolderRecord &holder = m_journal.m_ledger.m_holder;
    if (holder.m_token.m_value == 0 || holder.m_hasResigned) {
        return true;
    }
    const auto instance = m_journal.m_ledger.m_instances.find(holder.m_instance);
    const bool isReborn = instance != m_journal.m_ledger.m_instances.end() && instance->second.m_incarnation != holder.m_incarnation;
    return isReborn || now.m_boot - std::max(m_journal.m_holderSeenAt, m_startedAt) > holderSilence;
}

void Duty::claim(fleet::Now now)
{
    m_phase = DutyPhase::Claiming;
    m_writer = journal::Writer();
    m_writer.m_producer = producer;
    m_writer.m_epoch = m_journal.m_ledger.m_holder.m_token.m_value + 1;
    m_writer.m_onlyAtEnd = m_journal.m_next;
    journal::enqueue(m_writer, journal::encode(journal::HolderClaimed {m_settings.m_instance, m_settings.m_incarnation, {m_writer.m_epoch}}), 0);
    m_ports.log("duty claim token=" + std::to_string(m_writer.m_epoch) + " at=" + std::to_string(m_journal.m_next));
    m_lastAppendAt = now.m_boot;
}

void Duty::begin(fleet::Now now)
{
    m_phase = DutyPhase::Holding;
    m_lastStoreContact = now.m_boot;
    m_state = dispatch::State();
    m_state.m_settings = m_settings.m_dispatch;
    m_state.m_token = m_journal.m_ledger.m_holder.m_token;
    m_list.clear();
    m_listNext.reset();
    m_nextListReadAt = now.m_boot;
    m_ports.log("duty hold token=" + std::to_string(m_state.m_token.m_value));
    const fleet::BootTime foreignLeaseUntil = now.m_boot + m_settings.m_dispatch.m_holderAuthority + m_settings.m_dispatch.m_leaseLimit * 21 / 20;
    send(dispatch::takeOver(m_state, around(), foreignLeaseUntil, now), now);
}

void Duty::stepDown(const std::string &why, fleet::Now now)
{
    m_ports.log("duty end token=" + std::to_string(m_writer.m_epoch) + " why=" + why);
    m_phase = DutyPhase::Following;
    m_writer = journal::Writer();
    m_state = dispatch::State();
    m_unconfirmed.clear();
    // The ledger may hold records that were never stored.
    const int readsOpen = m_journal.m_readsOpen;
    m_journal = JournalView();
    m_journal.m_readsOpen = readsOpen;
    m_notBefore = now.m_boot + holderSilence;
    m_startedAt = now.m_boot;
}

void Duty::onJournalRead(const journal::Changes &changes, fleet::Now now)
{
    if (!m_isStarted) {
        m_isStarted = true;
        m_startedAt = now.m_boot;
        m_notBefore = now.m_boot + spread(m_settings.m_instance);
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
    if (m_phase == DutyPhase::Holding && (!changes.m_accepted.empty() || !changes.m_cancelled.empty())) {
        std::vector<jobs::JobId> changed = changes.m_accepted;
        changed.insert(changed.end(), changes.m_cancelled.begin(), changes.m_cancelled.end());
        send(dispatch::onJobsChanged(m_state, around(), changed, now), now);
    }
}

void Duty::onAppendEnded(const AppendTag &tag, fleet::BootTime sentAt, const store::AppendResult &result, fleet::Now now)
{
    if (m_phase == DutyPhase::Following || tag.m_epoch != m_writer.m_epoch) {
        return;
    }
    const journal::WriteOutcome outcome = journal::onAppendEnded(m_writer, tag.m_sequence, sentAt, result, now.m_boot);
    if (outcome.m_isFenced) {
        stepDown("fenced by the store", now);
        return;
    }
    if (outcome.m_endMoved) {
        stepDown("the journal went on before the claim", now);
        return;
    }
    if (outcome.m_stored.empty()) {
        return;
    }
    m_lastStoreContact = std::max(m_lastStoreContact, sentAt);
    if (m_phase == DutyPhase::Claiming) {
        m_phase = DutyPhase::Confirming;
        return;
    }
    const std::uint64_t batch = *std::max_element(outcome.m_stored.begin(), outcome.m_stored.end());
    if (m_phase == DutyPhase::Holding && batch > 0) {
        std::erase_if(m_unconfirmed, [&](const auto &entry) {
            return entry.second <= batch;
        });
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
    if (event.m_read.m_isWhole) {
        m_list.clear();
    }
    for (const workers::ListChange &change : event.m_read.m_changes) {
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

void Duty::onCatalogChanged(fleet::Now now)
{
    if (m_phase == DutyPhase::Holding) {
        send(dispatch::onJobsChanged(m_state, around(), {}, now), now);
    }
}

void Duty::onTick(fleet::Now now)
{
    if (m_phase == DutyPhase::Following) {
        if (m_isStarted && now.m_boot >= m_notBefore && m_journal.m_asOf && m_operators.hasCatalog() && isHolderSilent(now)) {
            claim(now);
        }
        return;
    }
    if (m_phase != DutyPhase::Holding) {
        return;
    }
    if (now.m_boot - m_lastStoreContact > m_settings.m_dispatch.m_holderAuthority) {
        stepDown("the store was out of reach for too long", now);
        return;
    }
    send(dispatch::onTick(m_state, around(), now), now);
    if (m_phase == DutyPhase::Holding && !m_writer.m_sent && now.m_boot - m_lastAppendAt >= aliveInterval) {
        m_lastAppendAt = now.m_boot;
        journal::enqueue(m_writer, journal::encode(journal::HolderAlive {m_state.m_token}), 0);
    }
    if (!m_listReadOpen && now.m_boot >= m_nextListReadAt) {
        m_listReadOpen = true;
        m_nextListReadAt = now.m_boot + listInterval;
        m_ports.readList(m_listNext, now.m_boot);
    }
}

void Duty::resign(fleet::Now now)
{
    if (m_phase == DutyPhase::Holding) {
        journal::enqueue(m_writer, journal::encode(journal::HolderResigned {m_state.m_token, {}}), 0);
        m_ports.log("duty resign token=" + std::to_string(m_state.m_token.m_value));
        m_state = dispatch::State();
    }
    m_phase = DutyPhase::Following;
    m_notBefore = now.m_boot + std::chrono::hours(1);
}

void Duty::send(dispatch::Outbox &&outbox, fleet::Now now)
{
    for (const std::string &line : outbox.m_log) {
        m_ports.log(line);
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
    for (const workers::LookOrder &order : outbox.m_looks) {
        m_ports.look(order, now.m_boot);
    }
}

DutyPhase Duty::phase() const
{
    return m_phase;
}

journal::Writer &Duty::writer()
{
    return m_writer;
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
