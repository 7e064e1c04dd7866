#include "components/node/call_handler.hpp"

#include "components/callers/submission_limits.hpp"
#include "components/node/holder_monitor.hpp"
#include "components/node/instance_metrics.hpp"
#include "components/node/ports.hpp"
#include "components/node/timing.hpp"
#include "components/store/append_result.hpp"

#include <algorithm>
#include <sstream>
#include <utility>

namespace node
{

namespace
{

using namespace std::chrono_literals;

/// Time limit for calls that name none.
constexpr fleet::Duration defaultCallTimeout {3000};
/// An answer is sent this long before the caller stops waiting, or with a part of the time left if that is short: the last try of a
/// caller may leave it a tenth of a second, in which most calls are answered.
constexpr fleet::Duration maxAnswerMargin {150};
constexpr int answerMarginDivisor = 4;
/// Longest time since the journal was read for answering with the state of a job that has not ended, and with the number of
/// waiting jobs.
constexpr fleet::Duration maxJobStateAge {100};
constexpr fleet::Duration maxWaitingCountAge {1000};
/// If an append is unanswered for this long, a read checks whether the store answers at all.
constexpr fleet::Duration slowAppendThreshold {150};
/// While the store is unreachable, a read is sent this often to find out whether it answers again.
constexpr fleet::Duration probeInterval {250};
/// Each read returns everything new, so more open reads would overload a slow link.
constexpr int maxOpenReads = 3;
/// When a refused caller should try again if the store answers no instance as far as is known. Callers try a few times within their
/// time limit, and an outage lasts seconds.
constexpr fleet::Duration outageRetryAfter {1000};
/// The same if the store answers other instances, since the caller's next try reaches another one.
constexpr fleet::Duration otherInstanceRetryAfter {20};

/// How long a record may be stored after it was sent, if the store does not answer: outages last seconds.
constexpr fleet::Duration appendDoubtTime {10'000};

/// Ticket of the record of this instance's start; the numbers of calls are higher.
constexpr std::uint64_t instanceTicket = 0;

constexpr const char *incompleteReason = "records of the journal expired before they were read; try another instance";
constexpr const char *skippedCatalogsReason = "a catalog that this instance has not read may have allowed the job; submit it again";
constexpr const char *storeUnreachableReason = "the store is out of reach; try another instance";

fleet::Duration timeToAnswer(fleet::Duration timeout)
{
    const fleet::Duration given = std::max(fleet::Duration(0), timeout);
    return given - std::min(maxAnswerMargin, given / answerMarginDivisor);
}

/// Returns why the submission can never run within the maximum that the accounts give its own; empty if it can.
std::string findOverMaximum(const callers::Submission &submission, const std::vector<catalog::Account> &accounts, const fleet::AccountId &id)
{
    const auto found = std::find_if(accounts.begin(), accounts.end(), [&](const catalog::Account &account) {
        return account.m_id == id;
    });
    return found == accounts.end() ? std::string() : callers::findOverMaximum(submission, found->m_maximum);
}

std::string makeProducerName(const Settings &settings)
{
    std::ostringstream name;
    name << settings.m_instance.value() << '-' << std::hex << settings.m_incarnation.m_value;
    return name.str();
}

/// Returns the id at the end of the path, for the log of calls that are refused before their queue is known; an empty id if
/// there is none.
jobs::JobId jobIdFromPath(const std::string &path)
{
    return jobs::parseJobId(path.substr(path.rfind('/') + 1)).value_or(jobs::JobId());
}

callers::Reply replyOf(callers::ReplyKind kind)
{
    return {kind, {}, 0, {}, {}};
}

const char *nameOf(callers::CallKind kind)
{
    switch (kind) {
    case callers::CallKind::Submit:
        return "submit";
    case callers::CallKind::Show:
        return "show";
    case callers::CallKind::Cancel:
        return "cancel";
    }
    return "";
}

const char *nameOf(callers::ReplyKind kind)
{
    switch (kind) {
    case callers::ReplyKind::Accepted:
        return "accepted";
    case callers::ReplyKind::State:
        return "state";
    case callers::ReplyKind::Waiting:
        return "waiting";
    case callers::ReplyKind::Cancelled:
        return "cancelled";
    case callers::ReplyKind::NoSuchJob:
        return "no-such-job";
    case callers::ReplyKind::NoSuchQueue:
        return "no-such-queue";
    case callers::ReplyKind::KeyRefused:
        return "key-refused";
    case callers::ReplyKind::Malformed:
        return "malformed";
    case callers::ReplyKind::OverMaximum:
        return "over-maximum";
    case callers::ReplyKind::Refused:
        return "refused";
    case callers::ReplyKind::Unknown:
        return "unknown";
    }
    return "";
}

}

CallHandler::CallHandler(const Settings &settings,
                         const Timing &timing,
                         Ports &ports,
                         const OperatorConfigView &operatorConfig,
                         JournalView &journal,
                         const std::map<jobs::JobId, std::uint64_t> &unconfirmedEnds,
                         const HolderMonitor &holderMonitor,
                         InstanceMetrics &instanceMetrics)
    : m_settings(settings)
    , m_timing(timing)
    , m_ports(ports)
    , m_metrics(instanceMetrics)
    , m_operatorConfig(operatorConfig)
    , m_journal(journal)
    , m_unconfirmedEnds(unconfirmedEnds)
    , m_holderMonitor(holderMonitor)
{
    m_writer.m_producer = makeProducerName(settings);
    m_writer.m_epoch = 1;
    m_writer.m_dropsRefusedBatches = true;
}

void CallHandler::announceInstance(fleet::Now)
{
    const journal::InstanceStarted record {
        m_settings.m_instance, m_settings.m_incarnation, m_settings.m_zone, m_settings.m_peerAddress, m_settings.m_peerKey, m_settings.m_milliCores};
    journal::enqueue(m_writer, journal::encode(record), instanceTicket);
}

void CallHandler::onCall(std::uint64_t call, const callers::Call &content, fleet::Now now)
{
    OpenCall openCall;
    openCall.m_kind = content.m_kind;
    openCall.m_arrivedAt = now.m_boot;
    openCall.m_answerBy = now.m_boot + timeToAnswer(content.m_timeout.value_or(defaultCallTimeout));
    openCall.m_requestId = content.m_requestId;
    openCall.m_job = jobIdFromPath(content.m_path);
    if (!m_operatorConfig.hasCatalog()) {
        reply(call, openCall, refusal("no catalog has been read yet; come back shortly", now), now);
        return;
    }
    const fleet::Duration age = viewAge(m_operatorConfig, now.m_boot);
    if (age >= m_timing.m_maxAgeToAllow) {
        reply(call, openCall, refusal("the catalog was last confirmed too long ago; try another instance", now), now);
        return;
    }
    const catalog::Queue *queue = catalog::findQueue(m_operatorConfig.m_catalog, content.m_host, content.m_path);
    const catalog::Account *account = catalog::findAccountByKey(m_operatorConfig.m_catalog, content.m_key);
    const bool isAllowed = queue != nullptr && (queue->m_isPublic || account != nullptr);
    if (!isAllowed && age > m_timing.m_maxAgeToDeny) {
        reply(call, openCall, refusal("the catalog may have changed since it was read; try another instance", now), now);
        return;
    }
    if (queue == nullptr) {
        reply(call, openCall, replyOf(callers::ReplyKind::NoSuchQueue), now);
        return;
    }
    if (!isAllowed) {
        reply(call, openCall, replyOf(callers::ReplyKind::KeyRefused), now);
        return;
    }
    openCall.m_queue = queue->m_id;
    const std::string rest = content.m_path.substr(queue->m_pathPrefix.size());
    if (rest.empty() && content.m_kind == callers::CallKind::Show) {
        openCall.m_isForQueue = true;
        showQueue(call, openCall, now);
        return;
    }
    const auto job = jobs::parseJobId(rest);
    if (!job) {
        reply(call, openCall, replyOf(content.m_kind == callers::CallKind::Submit ? callers::ReplyKind::Malformed : callers::ReplyKind::NoSuchJob), now);
        return;
    }
    openCall.m_job = *job;
    switch (content.m_kind) {
    case callers::CallKind::Submit:
        submit(call, openCall, content, *queue, account == nullptr ? fleet::AccountId() : account->m_id, now);
        break;
    case callers::CallKind::Show:
        showJob(call, openCall, now);
        break;
    case callers::CallKind::Cancel:
        cancel(call, openCall, now);
        break;
    }
}

void CallHandler::onCallFailed(std::uint64_t call, const callers::Call &content, fleet::Now now)
{
    if (m_openCalls.contains(call)) {
        return;
    }
    OpenCall openCall;
    openCall.m_kind = content.m_kind;
    openCall.m_arrivedAt = now.m_boot;
    openCall.m_requestId = content.m_requestId;
    openCall.m_job = jobIdFromPath(content.m_path);
    reply(call, openCall, {callers::ReplyKind::Unknown, {}, 0, {}, "the instance failed; ask for the job again"}, now);
}

void CallHandler::submit(
    std::uint64_t call, OpenCall openCall, const callers::Call &content, const catalog::Queue &queue, const fleet::AccountId &account, fleet::Now now)
{
    if (journal::findJob(m_journal.m_journalState, openCall.m_job) != nullptr) {
        reply(call, openCall, replyOf(callers::ReplyKind::Accepted), now);
        return;
    }
    if (const auto pending = m_pendingSubmissions.find(openCall.m_job); pending != m_pendingSubmissions.end()) {
        openCall.m_waitsForAppend = true;
        m_pendingRecords.at(pending->second).m_calls.push_back(call);
        m_openCalls.emplace(call, openCall);
        return;
    }
    if (!content.m_submission) {
        reply(call, openCall, {callers::ReplyKind::Malformed, {}, 0, {}, content.m_bodyError}, now);
        return;
    }
    if (const std::string excess = callers::findExcess(*content.m_submission); !excess.empty()) {
        reply(call, openCall, {callers::ReplyKind::Malformed, {}, 0, {}, excess}, now);
        return;
    }
    if (viewAge(m_operatorConfig, now.m_boot) > m_timing.m_maxConfirmationAge || isStoreUnreachable(m_journal, now.m_boot)) {
        reply(call, openCall, refusal(storeUnreachableReason, now), now);
        return;
    }
    if (!isIncomplete(m_journal) && !mayHaveBeenAllowed(*content.m_submission, account, now.m_boot)) {
        openCall.m_overMaximum = findOverMaximum(*content.m_submission, m_operatorConfig.m_catalog.m_accounts, account);
    }
    if (!openCall.m_overMaximum.empty()) {
        // An earlier attempt of this submission may have been stored when the maximum was higher.
        openCall.m_minJournalAsOf = now.m_boot;
        waitForJournalRead(call, openCall);
        return;
    }
    journal::JobAccepted record;
    record.m_spec = {openCall.m_job, queue.m_id, account, content.m_submission->m_payload, content.m_submission->m_steps, content.m_submission->m_schedule};
    record.m_maxAttempts = queue.m_maxAttempts;
    record.m_at = now.m_wall;
    std::string bytes = journal::encode(record);
    if (bytes.size() > journal::maxRecordBytes) {
        const std::string reason = "the job takes " + std::to_string(bytes.size()) + " bytes in the journal, of which a record holds "
            + std::to_string(journal::maxRecordBytes) + "; split it into several jobs";
        reply(call, openCall, {callers::ReplyKind::Malformed, {}, 0, {}, reason}, now);
        return;
    }
    m_pendingSubmissions.emplace(openCall.m_job, call);
    append(call, openCall, std::move(bytes));
}

fleet::Duration CallHandler::replacedCatalogDoubtTime() const
{
    // Another instance may have had the older catalog for one bound longer, and the read here may have waited for a change before it was answered.
    return 2 * m_settings.m_catalogInForce + appendDoubtTime;
}

bool CallHandler::hasSkippedCatalogs(fleet::BootTime now) const
{
    const std::optional<fleet::BootTime> &skippedAt = m_operatorConfig.m_skippedCatalogsAt;
    return skippedAt && now - *skippedAt < replacedCatalogDoubtTime();
}

bool CallHandler::mayHaveBeenAllowed(const callers::Submission &submission, const fleet::AccountId &account, fleet::BootTime now) const
{
    const fleet::Duration doubtTime = replacedCatalogDoubtTime();
    return std::any_of(m_operatorConfig.m_replacedAccounts.begin(), m_operatorConfig.m_replacedAccounts.end(), [&](const ReplacedAccounts &replaced) {
        const bool isKnown = std::any_of(replaced.m_accounts.begin(), replaced.m_accounts.end(), [&](const catalog::Account &known) {
            return known.m_id == account;
        });
        return isKnown && now - replaced.m_replacedAt < doubtTime && findOverMaximum(submission, replaced.m_accounts, account).empty();
    });
}

void CallHandler::append(std::uint64_t call, OpenCall openCall, std::string record)
{
    openCall.m_waitsForAppend = true;
    m_pendingRecords[call] = {openCall.m_job, openCall.m_kind, {call}};
    m_openCalls[call] = std::move(openCall);
    journal::enqueue(m_writer, std::move(record), call);
}

void CallHandler::finishRecord(std::uint64_t ticket, const callers::Reply &submitReply, const callers::Reply &cancelReply, fleet::Now now)
{
    const auto found = m_pendingRecords.find(ticket);
    if (found == m_pendingRecords.end()) {
        return;
    }
    const PendingRecord record = std::move(found->second);
    m_pendingRecords.erase(found);
    const bool isCancel = record.m_kind == callers::CallKind::Cancel;
    if (!isCancel) {
        m_pendingSubmissions.erase(record.m_job);
    }
    for (const std::uint64_t call : record.m_calls) {
        if (const auto open = m_openCalls.find(call); open != m_openCalls.end()) {
            reply(call, OpenCall(open->second), isCancel ? cancelReply : submitReply, now);
        }
    }
}

void CallHandler::cancel(std::uint64_t call, OpenCall openCall, fleet::Now now)
{
    const journal::JobRecord *job = journal::findJob(m_journal.m_journalState, openCall.m_job);
    if (job == nullptr) {
        openCall.m_minJournalAsOf = now.m_boot;
        waitForJournalRead(call, openCall);
        return;
    }
    // An end that is not stored yet may still be lost, and the tasks with it would run again.
    if (job->isOver() && !m_unconfirmedEnds.contains(openCall.m_job)) {
        reply(call, openCall, replyOf(callers::ReplyKind::Cancelled), now);
        return;
    }
    append(call, openCall, journal::encode(journal::JobCancelled {openCall.m_job, now.m_wall}));
}

void CallHandler::showJob(std::uint64_t call, OpenCall openCall, fleet::Now now)
{
    const journal::JobRecord *job = journal::findJob(m_journal.m_journalState, openCall.m_job);
    openCall.m_minJournalAsOf = now.m_boot - (job == nullptr ? fleet::Duration(0) : maxJobStateAge);
    if ((job != nullptr && job->isOver()) || (m_journal.m_asOf && *m_journal.m_asOf >= openCall.m_minJournalAsOf)) {
        tryAnswer(call, openCall, now);
    } else if (isStoreUnreachable(m_journal, now.m_boot)) {
        answerWithoutWaiting(call, openCall, now);
    } else {
        waitForJournalRead(call, openCall);
    }
}

void CallHandler::showQueue(std::uint64_t call, OpenCall openCall, fleet::Now now)
{
    openCall.m_minJournalAsOf = now.m_boot - maxWaitingCountAge;
    if (m_journal.m_asOf && *m_journal.m_asOf >= openCall.m_minJournalAsOf) {
        tryAnswer(call, openCall, now);
        return;
    }
    waitForJournalRead(call, openCall);
}

void CallHandler::waitForJournalRead(std::uint64_t call, const OpenCall &openCall)
{
    m_openCalls.emplace(call, openCall);
}

bool CallHandler::needsJournalRead(fleet::BootTime now) const
{
    if (m_journal.m_readsOpen >= maxOpenReads) {
        return false;
    }
    if (m_journal.m_asOf && m_writer.m_sent && now - m_writer.m_sent->m_firstSentAt > slowAppendThreshold
        && m_journal.m_lastReadSentAt <= m_writer.m_sent->m_firstSentAt) {
        return true;
    }
    if (isStoreUnreachable(m_journal, now)) {
        return now - m_journal.m_lastReadSentAt >= probeInterval;
    }
    return std::any_of(m_openCalls.begin(), m_openCalls.end(), [&](const auto &entry) {
        return !entry.second.m_waitsForAppend && m_journal.m_lastReadSentAt < entry.second.m_minJournalAsOf;
    });
}

callers::Reply CallHandler::refusal(const std::string &reason, fleet::Now now) const
{
    return {callers::ReplyKind::Refused, {}, 0, isHolderServed(m_holderMonitor, now) ? otherInstanceRetryAfter : outageRetryAfter, reason};
}

callers::Reply CallHandler::stateReply(const journal::JobRecord &job) const
{
    callers::Reply reply = replyOf(callers::ReplyKind::State);
    reply.m_state = m_unconfirmedEnds.contains(job.m_spec.m_id) && !job.m_isCancelled ? jobs::JobState::Running : stateOf(job);
    return reply;
}

callers::Reply CallHandler::waitingReply(const fleet::QueueId &queue) const
{
    callers::Reply reply = replyOf(callers::ReplyKind::Waiting);
    reply.m_waitingJobs
        = static_cast<std::size_t>(std::count_if(m_journal.m_journalState.m_jobs.begin(), m_journal.m_journalState.m_jobs.end(), [&](const auto &entry) {
              const journal::JobRecord &job = entry.second;
              return job.m_spec.m_queue == queue && !journal::hasBegun(job) && !job.isOver();
          }));
    return reply;
}

void CallHandler::answerOverMaximum(std::uint64_t call, const OpenCall &openCall, fleet::Now now)
{
    if (journal::findJob(m_journal.m_journalState, openCall.m_job) != nullptr) {
        reply(call, openCall, replyOf(callers::ReplyKind::Accepted), now);
    } else if (const auto pending = m_pendingSubmissions.find(openCall.m_job); pending != m_pendingSubmissions.end()) {
        m_openCalls.at(call).m_waitsForAppend = true;
        m_pendingRecords.at(pending->second).m_calls.push_back(call);
    } else if (isIncomplete(m_journal)) {
        reply(call, openCall, {callers::ReplyKind::Unknown, {}, 0, {}, incompleteReason}, now);
    } else if (hasSkippedCatalogs(now.m_boot)) {
        reply(call, openCall, {callers::ReplyKind::Unknown, {}, 0, {}, skippedCatalogsReason}, now);
    } else {
        reply(call, openCall, {callers::ReplyKind::OverMaximum, {}, 0, {}, openCall.m_overMaximum}, now);
    }
}

bool CallHandler::tryAnswer(std::uint64_t call, const OpenCall &openCall, fleet::Now now)
{
    if (openCall.m_kind == callers::CallKind::Submit) {
        answerOverMaximum(call, openCall, now);
        return true;
    }
    const journal::JobRecord *job = journal::findJob(m_journal.m_journalState, openCall.m_job);
    if (isIncomplete(m_journal) && (openCall.m_isForQueue || job == nullptr || !job->isOver())) {
        reply(call, openCall, refusal(incompleteReason, now), now);
    } else if (openCall.m_isForQueue) {
        reply(call, openCall, waitingReply(openCall.m_queue), now);
    } else if (job == nullptr) {
        reply(call, openCall, replyOf(callers::ReplyKind::NoSuchJob), now);
    } else if (openCall.m_kind == callers::CallKind::Show) {
        reply(call, openCall, stateReply(*job), now);
    } else {
        cancel(call, openCall, now);
        return false;
    }
    return true;
}

void CallHandler::onJournalRead(fleet::Now now)
{
    std::vector<std::pair<std::uint64_t, OpenCall>> readyCalls;
    for (const auto &[call, openCall] : m_openCalls) {
        if (!openCall.m_waitsForAppend && m_journal.m_asOf && *m_journal.m_asOf >= openCall.m_minJournalAsOf) {
            readyCalls.emplace_back(call, openCall);
        }
    }
    for (const auto &[call, openCall] : readyCalls) {
        tryAnswer(call, openCall, now);
    }
}

void CallHandler::onAppendEnded(std::uint64_t sequence, fleet::BootTime sentAt, const store::AppendResult &result, fleet::Now now)
{
    const journal::WriteOutcome outcome = journal::onAppendEnded(m_writer, sequence, sentAt, result, now.m_boot);
    if (outcome.m_isFenced) {
        // No other process uses this producer name, so a higher epoch can restart its sequence. Records may be stored twice.
        ++m_writer.m_epoch;
        m_writer.m_sent->m_resendAt = now.m_boot;
        m_ports.log(logging::Line("callers", "fenced", logging::Level::Warning).add("epoch", m_writer.m_epoch).add("reason", result.m_reason), now);
    }
    m_storedEnd = std::max(m_storedEnd, outcome.m_end);
    for (const std::uint64_t ticket : outcome.m_stored) {
        finishRecord(ticket, replyOf(callers::ReplyKind::Accepted), replyOf(callers::ReplyKind::Cancelled), now);
    }
    const callers::Reply refused = refusal("the store refused the record: " + result.m_reason, now);
    for (const std::uint64_t ticket : outcome.m_refused) {
        if (ticket == instanceTicket) {
            announceInstance(now);
        } else {
            finishRecord(ticket, refused, refused, now);
        }
    }
}

void CallHandler::onTick(fleet::Now now)
{
    const bool isUnreachable = isStoreUnreachable(m_journal, now.m_boot);
    if (isUnreachable) {
        refuseQueuedCalls(now);
    }
    // A caller whose record is in doubt is better off asking an instance that the store answers than waiting here for its time to end.
    const bool canOthersAnswer = isUnreachable && isHolderServed(m_holderMonitor, now);
    std::vector<std::pair<std::uint64_t, OpenCall>> dueCalls;
    for (const auto &[call, openCall] : m_openCalls) {
        if (now.m_boot >= openCall.m_answerBy || (isUnreachable && !openCall.m_waitsForAppend) || canOthersAnswer) {
            dueCalls.emplace_back(call, openCall);
        }
    }
    for (const auto &[call, openCall] : dueCalls) {
        answerWithoutWaiting(call, openCall, now);
    }
}

void CallHandler::answerOpenCalls(fleet::Now now)
{
    refuseQueuedCalls(now);
    const std::map<std::uint64_t, OpenCall> openCalls = m_openCalls;
    for (const auto &[call, openCall] : openCalls) {
        answerWithoutWaiting(call, openCall, now);
    }
}

/// Refuses calls whose records have not been sent to the store. Once removed from the writer they can't be stored any more, so
/// the refusal is certain.
void CallHandler::refuseQueuedCalls(fleet::Now now)
{
    const callers::Reply refused = refusal(storeUnreachableReason, now);
    for (const std::uint64_t ticket : journal::withdrawUnsent(m_writer)) {
        finishRecord(ticket, refused, refused, now);
    }
}

void CallHandler::answerWithoutWaiting(std::uint64_t call, const OpenCall &openCall, fleet::Now now)
{
    const bool isForJob = openCall.m_kind == callers::CallKind::Show && !openCall.m_isForQueue;
    const journal::JobRecord *job = isForJob ? journal::findJob(m_journal.m_journalState, openCall.m_job) : nullptr;
    if (job != nullptr && job->isOver()) {
        reply(call, openCall, stateReply(*job), now);
    } else if (openCall.m_kind == callers::CallKind::Submit && !openCall.m_waitsForAppend) {
        reply(call, openCall, {callers::ReplyKind::Unknown, {}, 0, {}, "whether the job is stored could not be read; submit it again"}, now);
    } else if (openCall.m_waitsForAppend) {
        reply(call, openCall, {callers::ReplyKind::Unknown, {}, 0, {}, "the store has not answered; ask for the job again"}, now);
    } else {
        // The last known state may be older than what another instance has already shown.
        reply(call, openCall, refusal("the journal could not be read; try another instance", now), now);
    }
}

void CallHandler::reply(std::uint64_t call, const OpenCall &openCall, const callers::Reply &reply, fleet::Now now)
{
    logging::Line line = logging::Line("callers", "answer")
                             .add("call", nameOf(openCall.m_kind))
                             .add("request", openCall.m_requestId)
                             .add("job", toString(openCall.m_job))
                             .add("queue", openCall.m_queue.value())
                             .add("outcome", nameOf(reply.m_kind))
                             .add("took_ms", now.m_boot - openCall.m_arrivedAt)
                             .add("catalog", m_operatorConfig.m_catalog.m_version)
                             .add("catalog_age_ms", asOf(m_operatorConfig) ? viewAge(m_operatorConfig, now.m_boot) : fleet::Duration(-1))
                             .add("journal", m_journal.m_nextOffset)
                             .add("journal_age_ms", m_journal.m_asOf ? now.m_boot - *m_journal.m_asOf : fleet::Duration(-1));
    if (reply.m_kind == callers::ReplyKind::State) {
        line.append("state", jobs::nameOf(reply.m_state));
    }
    if (!reply.m_reason.empty()) {
        line.append("reason", reply.m_reason);
    }
    m_ports.log(line, now);
    m_metrics.countAnswer(nameOf(openCall.m_kind), nameOf(reply.m_kind), now.m_boot - openCall.m_arrivedAt);
    m_ports.reply(call, reply);
    m_openCalls.erase(call);
}

std::size_t CallHandler::openCalls() const
{
    return m_openCalls.size();
}

std::uint64_t CallHandler::storedEnd() const
{
    return m_storedEnd;
}

journal::Writer &CallHandler::writer()
{
    return m_writer;
}

}
