#include "components/node/control.hpp"

#include "components/node/ports.hpp"

#include <algorithm>
#include <exception>

namespace node
{

namespace
{

using namespace std::chrono_literals;

const store::Topic journalTopic {"foxtailcross.journal", 0, false};
const store::Topic snapshotTopic {"foxtailcross.snapshot", 0, true};

/// How often the holder and the other instances read the journal when they are not notified of new records.
constexpr fleet::Duration holderReadInterval {250};
constexpr fleet::Duration followerReadInterval {1000};
/// Delay before a failed read is repeated.
constexpr fleet::Duration readRetryDelay {150};
constexpr fleet::Duration holderTick {40};
constexpr fleet::Duration followerTick {100};
/// After a stop request, new connections keep arriving until the platform has twice seen that the instance is not ready.
constexpr fleet::Duration balancerDelay {2200};
/// Ended jobs are dropped this often. They are kept for forgetMargin longer than their retention, since callers may learn of the end
/// from an instance that learned of it later.
constexpr fleet::Duration forgetInterval {5000};
/// The figures of the accounts examine all waiting steps; the metrics are read every few seconds.
constexpr fleet::Duration accountStatsInterval {1000};
constexpr fleet::Duration forgetMargin {15'000};
/// A stopping process answers the calls that are still open this long before the platform would kill it, and exits after
/// finalAnswerTime, in which the answers are sent. The rest of the margin is for writing the log.
constexpr fleet::Duration stopMargin {700};
constexpr fleet::Duration finalAnswerTime {250};

/// For logs and metrics; -1 ms if there is no time.
fleet::Duration ageSince(const std::optional<fleet::BootTime> &time, fleet::BootTime now)
{
    return time ? now - *time : fleet::Duration(-1);
}

}

Control::Control(const Settings &settings, Ports &ports, metrics::Registry &registry)
    : m_settings(settings)
    , m_timing(deriveTiming(settings))
    , m_ports(ports)
    , m_metrics(registry)
    , m_duty(m_settings, m_timing, m_ports, m_operatorConfig, m_journal)
    , m_callHandler(m_settings, m_timing, m_ports, m_operatorConfig, m_journal, m_duty.unconfirmedEnds(), m_duty.holderMonitor(), m_metrics)
{
    m_callHandler.announceInstance(fleet::Now());
}

void Control::handle(const Event &event, fleet::Now now)
{
    m_metrics.count(event, now);
    const bool isHandled = contain("event", now, [&] {
        std::visit(
            [&](const auto &body) {
                process(body, now);
            },
            event);
    });
    const auto *arrived = std::get_if<CallArrived>(&event);
    if (!isHandled && arrived != nullptr) {
        contain("answer", now, [&] {
            m_callHandler.onCallFailed(arrived->m_call, arrived->m_content, now);
        });
    }
}

void Control::onEventsHandled(fleet::Now now)
{
    contain("cycle", now, [&] {
        m_duty.runSchedulingCycle(now);
    });
    contain("send", now, [&] {
        sendPending(now);
    });
}

/// Callers of this instance are still served after an error that nobody expected. What the scheduling duty believes may be half
/// changed by then, so it is given up and built anew from the journal.
/// Returns false if there was an error.
template<class Action>
bool Control::contain(const char *where, fleet::Now now, Action action)
{
    try {
        action();
        return true;
    } catch (const std::exception &error) {
        recordUnexpectedError(where, error.what(), now);
        m_duty.abandon(now);
        return false;
    }
}

/// Sends one request; if that fails, it ends as one without an answer. Whoever waits for its end would wait for ever otherwise.
template<class Send>
void Control::sendOrEnd(const char *where, fleet::Now now, Send send, const Event &withoutAnswer)
{
    try {
        send();
    } catch (const std::exception &error) {
        recordUnexpectedError(where, error.what(), now);
        handle(withoutAnswer, now);
    }
}

void Control::recordUnexpectedError(const char *where, const std::string &reason, fleet::Now now)
{
    m_metrics.countUnexpectedError(where);
    m_ports.log(logging::Line("node", "unexpected-error", logging::Level::Error).add("where", where).add("reason", reason), now);
}

void Control::tick(fleet::Now now)
{
    contain("tick", now, [&] {
        m_duty.onTick(now);
        m_callHandler.onTick(now);
    });
    contain("state", now, [&] {
        if (now.m_boot - m_lastForgetAt >= forgetInterval) {
            m_lastForgetAt = now.m_boot;
            journal::forgetEnded(m_journal.m_journalState, m_settings.m_statusRetention + forgetMargin, now.m_boot);
        }
        updateReadiness(now);
    });
    onEventsHandled(now);
    contain("stop", now, [&] {
        if (now.m_boot - m_accountsMeasuredAt >= accountStatsInterval) {
            m_accountsMeasuredAt = now.m_boot;
            m_accountStats = m_duty.accountStats();
        }
        m_metrics.publish(collectStats(now));
        checkStop(now);
    });
}

fleet::BootTime Control::nextTick(fleet::Now now) const
{
    return now.m_boot + (m_duty.phase() == DutyPhase::Holding ? holderTick : followerTick);
}

void Control::setBounds(const Settings &settings)
{
    m_settings.m_dispatch = settings.m_dispatch;
    m_settings.m_keyRevocation = settings.m_keyRevocation;
    m_settings.m_catalogInForce = settings.m_catalogInForce;
    m_settings.m_zoneEvacuation = settings.m_zoneEvacuation;
    m_settings.m_statusRetention = settings.m_statusRetention;
    m_settings.m_journalRetention = settings.m_journalRetention;
    m_settings.m_stopLimit = settings.m_stopLimit;
    m_timing = deriveTiming(m_settings);
    m_duty.onBoundsChanged();
}

bool Control::holdsDuty() const
{
    return m_duty.phase() == DutyPhase::Holding;
}

bool Control::isStopped() const
{
    return m_isStopped;
}

void Control::process(const CallArrived &event, fleet::Now now)
{
    m_callHandler.onCall(event.m_call, event.m_content, now);
}

void Control::process(const AppendEnded &event, fleet::Now now)
{
    if (event.m_tag.m_writer != WriterKind::Callers) {
        m_duty.onAppendEnded(event.m_tag, event.m_sentAt, event.m_result, now);
    } else if (event.m_tag.m_epoch == m_callHandler.writer().m_epoch) {
        m_callHandler.onAppendEnded(event.m_tag.m_sequence, event.m_sentAt, event.m_result, now);
    }
}

void Control::process(const JournalRead &event, fleet::Now now)
{
    --m_journal.m_readsOpen;
    if (m_periodicReadSentAt == event.m_sentAt) {
        m_periodicReadSentAt.reset();
        const bool isRead = event.m_result.m_outcome == store::ReadOutcome::Read;
        const bool isHolding = m_duty.phase() == DutyPhase::Holding;
        m_nextPeriodicReadAt = now.m_boot + (!isRead ? readRetryDelay : isHolding ? holderReadInterval : followerReadInterval);
    }
    const store::ReadOutcome outcome = event.m_result.m_outcome;
    updateStoreStatus(outcome == store::ReadOutcome::Read || outcome == store::ReadOutcome::Expired, event.m_result.m_reason, now);
    const std::uint64_t unreadable = m_journal.m_unreadableRecords;
    const std::uint64_t from = m_journal.m_nextOffset;
    const std::optional<fleet::BootTime> readBefore = m_journal.m_asOf;
    journal::Changes changes;
    const bool hasMore = applyJournalRead(m_journal, event.m_result, event.m_sentAt, now.m_boot, changes);
    if (outcome == store::ReadOutcome::Expired && isIncomplete(m_journal) && m_journal.m_nextOffset > from) {
        m_ports.log(logging::Line("journal", "records-missing", logging::Level::Warning).add("from", from).add("before", m_journal.m_nextOffset), now);
    }
    if (outcome == store::ReadOutcome::Expired) {
        m_duty.onRecordsExpired(now);
    }
    if (isIncomplete(m_journal) && changes.m_snapshotWritten) {
        m_journal.m_needsSnapshot = true;
    }
    if (m_journal.m_unreadableRecords > unreadable) {
        m_ports.log(logging::Line("journal", "unreadable", logging::Level::Warning)
                        .add("records", m_journal.m_unreadableRecords - unreadable)
                        .add("from", event.m_result.m_from)
                        .add("journal_end", m_journal.m_nextOffset),
                    now);
    }
    if (event.m_result.m_outcome == store::ReadOutcome::Read) {
        m_duty.onJournalRead(changes, readBefore, now);
        m_callHandler.onJournalRead(now);
    }
    if (hasMore) {
        readJournal(now);
    }
}

void Control::process(const KeyedReadEnded &event, fleet::Now now)
{
    if (event.m_outcome == store::ReadOutcome::Read) {
        m_duty.onSnapshotsRead(event.m_records, now);
    }
    if (!m_journal.m_needsSnapshot) {
        recordSnapshotReadEnded(m_journal, event.m_outcome, now.m_boot);
        return;
    }
    if (applySnapshotRead(m_journal, event.m_outcome, event.m_records, event.m_sentAt, now.m_boot)) {
        m_ports.log(logging::Line("journal", "snapshot-read").add("journal_end", m_journal.m_nextOffset).add("jobs", m_journal.m_journalState.m_jobs.size()),
                    now);
        readJournal(now);
    }
}

void Control::process(const OperatorsReadEnded &event, fleet::Now now)
{
    const std::uint64_t version = m_operatorConfig.m_catalog.m_version;
    const bool isChanged = applyOperatorsRead(m_operatorConfig, event.m_read, event.m_sentAt);
    if (event.m_read.m_next < event.m_read.m_end) {
        m_ports.log(logging::Line("catalog", "read-in-part")
                        .add("full", event.m_read.m_isFullRead)
                        .add("next", event.m_read.m_next)
                        .add("end", event.m_read.m_end)
                        .add("version", m_operatorConfig.m_catalog.m_version)
                        .add("view_age_ms", ageSince(asOf(m_operatorConfig), now.m_boot)),
                    now);
    }
    m_operatorConfig.m_nextReadAt = now.m_boot + (event.m_read.m_outcome == store::ReadOutcome::Read ? fleet::Duration(0) : readRetryDelay);
    for (const std::string &key : event.m_read.m_unreadable) {
        m_ports.log(logging::Line("catalog", "unreadable", logging::Level::Warning).add("key", key).add("version", version), now);
    }
    if (isChanged) {
        m_ports.log(logging::Line("catalog", "changed")
                        .add("version", m_operatorConfig.m_catalog.m_version)
                        .add("before", version)
                        .add("queues", m_operatorConfig.m_catalog.m_queues.size())
                        .add("accounts", m_operatorConfig.m_catalog.m_accounts.size())
                        .add("zones_out", m_operatorConfig.m_zonesOut.size())
                        .add("read_ms", now.m_boot - event.m_sentAt),
                    now);
        m_duty.onCatalogChanged(now);
    }
}

void Control::process(const WorkerListReadEnded &event, fleet::Now now)
{
    m_duty.onWorkerListRead(event, now);
}

void Control::process(const StartEnded &event, fleet::Now now)
{
    m_duty.onStartEnded(event, now);
}

void Control::process(const StopEnded &event, fleet::Now now)
{
    m_duty.onStopEnded(event, now);
}

void Control::process(const PollEnded &event, fleet::Now now)
{
    m_duty.onPollEnded(event, now);
}

void Control::process(const AdviceEnded &event, fleet::Now now)
{
    m_duty.onAdviceEnded(event, now);
}

void Control::process(const UpkeepEnded &event, fleet::Now now)
{
    m_duty.onUpkeepEnded(event, now);
}

void Control::process(const WaveReported &event, fleet::Now now)
{
    m_duty.onWaveReported(event, now);
}

void Control::process(const DatagramArrived &event, fleet::Now now)
{
    if (const auto message = verifyPeerMessage(event.m_bytes, m_settings.m_peerKey)) {
        m_duty.onPeerMessage(*message, now);
    }
}

void Control::process(const ClientsRefused &event, fleet::Now now)
{
    m_ports.log(
        logging::Line("clients", "refused", logging::Level::Warning).add("listener", event.m_listener).add("cause", event.m_cause).add("count", event.m_count),
        now);
}

void Control::process(const TrafficFailed &event, fleet::Now now)
{
    recordUnexpectedError("traffic", event.m_reason, now);
}

void Control::updateStoreStatus(bool isAnswered, const std::string &reason, fleet::Now now)
{
    if (isAnswered && m_storeUnreachableSince) {
        m_ports.log(logging::Line("store", "regained").add("lost_ms", now.m_boot - *m_storeUnreachableSince), now);
        m_storeUnreachableSince.reset();
    } else if (!isAnswered && !m_storeUnreachableSince) {
        m_storeUnreachableSince = now.m_boot;
        m_ports.log(logging::Line("store", "lost", logging::Level::Warning).add("reason", reason).add("journal", m_journal.m_nextOffset), now);
    }
}

/// Notifies the holder of records that this instance stored, so that it reads them before its next periodic read.
void Control::notifyHolder()
{
    const journal::HolderRecord &holder = m_journal.m_journalState.m_holder;
    const auto instance = m_journal.m_journalState.m_instances.find(holder.m_instance);
    if (m_callHandler.storedEnd() <= m_notifiedEnd || instance == m_journal.m_journalState.m_instances.end() || holder.m_instance == m_settings.m_instance) {
        return;
    }
    m_notifiedEnd = m_callHandler.storedEnd();
    const PeerMessage message {m_settings.m_instance, m_settings.m_incarnation, {}, m_notifiedEnd, 0, false, false};
    m_ports.sendDatagram(instance->second.m_peerAddress, signPeerMessage(message, instance->second.m_peerKey));
}

void Control::process(const StopRequested &, fleet::Now now)
{
    if (!m_stopRequestedAt) {
        m_ports.log(logging::Line("node", "stop-requested").add("open_calls", m_callHandler.openCalls()), now);
        m_stopRequestedAt = now.m_boot;
        m_duty.resign(now);
        updateReadiness(now);
    }
}

void Control::sendPending(fleet::Now now)
{
    m_duty.recordJournalEnd(m_callHandler.storedEnd());
    sendAppends(now);
    sendReads(now);
    notifyHolder();
}

void Control::sendAppends(fleet::Now now)
{
    sendDueAppends(m_duty.writer(), journalTopic, WriterKind::Holder, now);
    sendDueAppends(m_duty.snapshotWriter(), snapshotTopic, WriterKind::Snapshots, now);
    sendDueAppends(m_callHandler.writer(), journalTopic, WriterKind::Callers, now);
}

void Control::sendDueAppends(journal::Writer &writer, const store::Topic &topic, WriterKind kind, fleet::Now now)
{
    while (const auto call = journal::takeDueCall(writer, topic, now.m_boot)) {
        const AppendTag tag {kind, writer.m_epoch, call->m_producer->m_sequence};
        sendOrEnd(
            "append",
            now,
            [&] {
                m_ports.append(*call, tag, now.m_boot);
            },
            AppendEnded {tag, now.m_boot, {}});
    }
}

void Control::readJournal(fleet::Now now)
{
    recordReadSent(m_journal, now.m_boot);
    const store::ReadCall call {journalTopic, m_journal.m_nextOffset, fleet::Duration(0)};
    sendOrEnd(
        "read",
        now,
        [&] {
            m_ports.readJournal(call, now.m_boot);
        },
        JournalRead {call, now.m_boot, {}});
}

void Control::sendReads(fleet::Now now)
{
    if (!m_operatorConfig.m_readSentAt && now.m_boot >= m_operatorConfig.m_nextReadAt) {
        m_operatorConfig.m_readSentAt = now.m_boot;
        const bool shouldWait = m_operatorConfig.m_position.m_next && !m_operatorConfig.m_hasFailedRead;
        sendOrEnd(
            "read",
            now,
            [&] {
                m_ports.readOperators(m_operatorConfig.m_position.m_next, shouldWait ? m_timing.m_operatorReadWait : fleet::Duration(0), now.m_boot);
            },
            OperatorsReadEnded {now.m_boot, {}});
    }
    const bool isSnapshotRead = m_journal.m_needsSnapshot || m_duty.needsSnapshotHead();
    if (isSnapshotRead && !m_journal.m_isSnapshotReadOpen && now.m_boot >= m_journal.m_nextSnapshotReadAt) {
        m_journal.m_isSnapshotReadOpen = true;
        sendOrEnd(
            "read",
            now,
            [&] {
                m_ports.readKeyed(snapshotTopic, now.m_boot);
            },
            KeyedReadEnded {now.m_boot, store::ReadOutcome::NoAnswer, {}});
    }
    if (m_journal.m_needsSnapshot) {
        return;
    }
    // When this instance has just become the holder, m_nextPeriodicReadAt was still set with the longer interval of a follower.
    const bool isHolderDue = m_duty.phase() == DutyPhase::Holding && now.m_boot - m_journal.m_lastReadSentAt >= holderReadInterval;
    if (!m_periodicReadSentAt && (now.m_boot >= m_nextPeriodicReadAt || isHolderDue)) {
        m_periodicReadSentAt = now.m_boot;
        readJournal(now);
    }
    if (m_duty.needsJournalRead(now) || m_callHandler.needsJournalRead(now.m_boot)) {
        readJournal(now);
    }
}

void Control::updateReadiness(fleet::Now now)
{
    const bool isStoreAnswering = viewAge(m_operatorConfig, now.m_boot) < m_timing.m_maxConfirmationAge && !isStoreUnreachable(m_journal, now.m_boot);
    const bool isReady = !m_stopRequestedAt && m_operatorConfig.hasCatalog() && isStoreAnswering;
    if (isReady != m_isReady) {
        m_isReady = isReady;
        m_ports.log(logging::Line("node", "ready")
                        .add("ready", isReady)
                        .add("catalog", m_operatorConfig.m_catalog.m_version)
                        .add("view_age_ms", ageSince(asOf(m_operatorConfig), now.m_boot)),
                    now);
        m_ports.setReady(isReady);
    }
}

InstanceStats Control::collectStats(fleet::Now now) const
{
    InstanceStats stats;
    stats.m_isReady = m_isReady;
    stats.m_holdsDuty = holdsDuty();
    stats.m_holderToken = m_journal.m_journalState.m_holder.m_token.m_value;
    stats.m_catalogVersion = m_operatorConfig.m_catalog.m_version;
    stats.m_zonesOut = m_operatorConfig.m_zonesOut.size();
    stats.m_catalogAge = ageSince(asOf(m_operatorConfig), now.m_boot).count();
    stats.m_journalAge = ageSince(m_journal.m_asOf, now.m_boot).count();
    stats.m_journalEnd = m_journal.m_nextOffset;
    stats.m_unreadableRecords = m_journal.m_unreadableRecords;
    stats.m_jobs = m_journal.m_journalState.m_jobs.size();
    stats.m_openCalls = m_callHandler.openCalls();
    stats.m_callerConnections = m_ports.callerConnections();
    m_duty.addStats(stats);
    stats.m_accounts = m_accountStats;
    return stats;
}

void Control::checkStop(fleet::Now now)
{
    if (!m_stopRequestedAt) {
        return;
    }
    const fleet::Duration since = now.m_boot - *m_stopRequestedAt;
    if (since >= balancerDelay && !m_hasStoppedAccepting) {
        m_hasStoppedAccepting = true;
        m_ports.stopAccepting();
    }
    const fleet::Duration lastAnswersAt = m_settings.m_stopLimit - stopMargin;
    if (since >= lastAnswersAt) {
        m_callHandler.answerOpenCalls(now);
    }
    const bool isServed = m_hasStoppedAccepting && m_callHandler.openCalls() == 0 && m_ports.isDrained() && m_duty.isIdle();
    if (isServed || since >= lastAnswersAt + finalAnswerTime) {
        const CallerConnections connections = m_ports.callerConnections();
        m_ports.log(logging::Line("node", "stopped")
                        .add("open_calls", m_callHandler.openCalls())
                        .add("drained", m_ports.isDrained())
                        .add("connections", connections.m_open)
                        .add("unanswered", connections.m_unanswered),
                    now);
        m_isStopped = true;
    }
}

}
