#include "components/node/front_desk.hpp"

#include "components/node/event_meter.hpp"
#include "components/node/ports.hpp"
#include "components/store/append_result.hpp"

#include <algorithm>
#include <sstream>
#include <utility>

namespace node
{

namespace
{

using namespace std::chrono_literals;

/// A caller that names no limit is answered within this time.
constexpr fleet::Duration usualPatience {3000};
/// An answer leaves this long before the caller stops waiting.
constexpr fleet::Duration answerMargin {150};
/// What was read of the journal within this time is fresh enough for the state of a job that has not ended, and for
/// the number of waiting jobs.
constexpr fleet::Duration stateFreshness {100};
constexpr fleet::Duration countFreshness {1000};
/// A submission is refused at once where the store has not been reached for this long.
constexpr fleet::Duration storeSilence {2500};
/// An append without an answer for this long is a reason to ask whether the store answers at all.
constexpr fleet::Duration appendDoubt {150};
/// While the store does not answer, it is asked this often whether it is back.
constexpr fleet::Duration probeInterval {250};
/// Each read asks for all that is new, so few may be open on a slow link.
constexpr int mostReads = 3;
/// When a refused caller should come back.
constexpr fleet::Duration retryAfter {1000};
/// The same where another instance is likely to have the answer.
constexpr fleet::Duration askElsewhereAfter {100};
/// Kept between the age at which a view is trusted and the bound for keys that were taken away.
constexpr fleet::Duration revocationMargin {500};

constexpr const char *outOfReach = "the store is out of reach; try another instance";

std::string producerName(const Settings &settings)
{
    std::ostringstream name;
    name << settings.m_instance.value() << '-' << std::hex << settings.m_incarnation.m_value;
    return name.str();
}

callers::Reply refused(const std::string &reason)
{
    return {callers::ReplyKind::Refused, {}, 0, retryAfter, reason};
}

/// The job that the path ends with, for the log of calls that are refused before their queue is known.
jobs::JobId jobIn(const std::string &path)
{
    return jobs::parseJobId(path.substr(path.rfind('/') + 1)).value_or(jobs::JobId());
}

callers::Reply plain(callers::ReplyKind kind)
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
    case callers::ReplyKind::Refused:
        return "refused";
    case callers::ReplyKind::Unknown:
        return "unknown";
    }
    return "";
}

}

FrontDesk::FrontDesk(const Settings &settings,
                     Ports &ports,
                     const OperatorView &operators,
                     JournalView &journal,
                     const std::map<jobs::JobId, std::uint64_t> &unconfirmed,
                     EventMeter &meter)
    : m_settings(settings)
    , m_ports(ports)
    , m_meter(meter)
    , m_operators(operators)
    , m_journal(journal)
    , m_unconfirmed(unconfirmed)
{
    m_writer.m_producer = producerName(settings);
    m_writer.m_epoch = 1;
    m_writer.m_dropsRefusedBatches = true;
}

void FrontDesk::announce(fleet::Now)
{
    const journal::InstanceStarted record {
        m_settings.m_instance, m_settings.m_incarnation, m_settings.m_zone, m_settings.m_peerAddress, m_settings.m_peerKey, m_settings.m_processorPermille};
    journal::enqueue(m_writer, journal::encode(record), 0);
}

void FrontDesk::onCall(std::uint64_t call, const callers::Call &content, fleet::Now now)
{
    OpenCall open;
    open.m_kind = content.m_kind;
    open.m_arrivedAt = now.m_boot;
    open.m_giveUpAt = now.m_boot + std::max(fleet::Duration(0), content.m_timeout.value_or(usualPatience) - answerMargin);
    open.m_requestId = content.m_requestId;
    open.m_job = jobIn(content.m_path);
    if (!m_operators.hasCatalog()) {
        reply(call, open, refused("no catalog has been read yet; come back shortly"), now);
        return;
    }
    const fleet::Duration age = ageOf(m_operators, now.m_boot);
    if (age >= m_settings.m_keyRevocation - revocationMargin) {
        reply(call, open, refused("the catalog was last confirmed too long ago; try another instance"), now);
        return;
    }
    const catalog::Queue *queue = catalog::findQueue(m_operators.m_catalog, content.m_host, content.m_path);
    const catalog::Account *account = catalog::findAccountByKey(m_operators.m_catalog, content.m_key);
    const bool isAllowed = queue != nullptr && (queue->m_isPublic || account != nullptr);
    if (!isAllowed && age > m_settings.m_catalogInForce) {
        reply(call, open, refused("the catalog may have changed since it was read; try another instance"), now);
        return;
    }
    if (queue == nullptr) {
        reply(call, open, plain(callers::ReplyKind::NoSuchQueue), now);
        return;
    }
    if (!isAllowed) {
        reply(call, open, plain(callers::ReplyKind::KeyRefused), now);
        return;
    }
    open.m_queue = queue->m_id;
    const std::string rest = content.m_path.substr(queue->m_pathPrefix.size());
    if (rest.empty() && content.m_kind == callers::CallKind::Show) {
        open.m_job = jobs::JobId();
        showQueue(call, open, now);
        return;
    }
    const auto job = jobs::parseJobId(rest);
    if (!job) {
        reply(call, open, plain(content.m_kind == callers::CallKind::Submit ? callers::ReplyKind::Malformed : callers::ReplyKind::NoSuchJob), now);
        return;
    }
    open.m_job = *job;
    switch (content.m_kind) {
    case callers::CallKind::Submit:
        submit(call, open, content, *queue, account == nullptr ? fleet::AccountId() : account->m_id, now);
        break;
    case callers::CallKind::Show:
        showJob(call, open, now);
        break;
    case callers::CallKind::Cancel:
        cancel(call, open, now);
        break;
    }
}

void FrontDesk::submit(
    std::uint64_t call, OpenCall open, const callers::Call &content, const catalog::Queue &queue, const fleet::AccountId &account, fleet::Now now)
{
    if (journal::findJob(m_journal.m_ledger, open.m_job) != nullptr) {
        reply(call, open, plain(callers::ReplyKind::Accepted), now);
        return;
    }
    if (!content.m_submission) {
        reply(call, open, {callers::ReplyKind::Malformed, {}, 0, {}, content.m_bodyError}, now);
        return;
    }
    if (ageOf(m_operators, now.m_boot) > storeSilence || isWithoutStore(m_journal, now.m_boot)) {
        reply(call, open, refused(outOfReach), now);
        return;
    }
    journal::JobAccepted record;
    record.m_spec = {open.m_job, queue.m_id, account, content.m_submission->m_payload, content.m_submission->m_steps, content.m_submission->m_schedule};
    record.m_maxAttempts = queue.m_maxAttempts;
    record.m_at = now.m_wall;
    open.m_waitsForStore = true;
    m_open.emplace(call, open);
    journal::enqueue(m_writer, journal::encode(record), call);
}

void FrontDesk::cancel(std::uint64_t call, OpenCall open, fleet::Now now)
{
    const journal::JobRecord *job = journal::findJob(m_journal.m_ledger, open.m_job);
    if (job == nullptr) {
        open.m_readAfter = now.m_boot;
        waitForRead(call, open);
        return;
    }
    if (job->isOver()) {
        reply(call, open, plain(callers::ReplyKind::Cancelled), now);
        return;
    }
    open.m_waitsForStore = true;
    m_open[call] = open;
    journal::enqueue(m_writer, journal::encode(journal::JobCancelled {open.m_job, now.m_wall}), call);
}

void FrontDesk::showJob(std::uint64_t call, OpenCall open, fleet::Now now)
{
    const journal::JobRecord *job = journal::findJob(m_journal.m_ledger, open.m_job);
    open.m_readAfter = now.m_boot - (job == nullptr ? fleet::Duration(0) : stateFreshness);
    if ((job != nullptr && job->isOver()) || (m_journal.m_asOf && *m_journal.m_asOf >= open.m_readAfter)) {
        tryAnswer(call, open, now);
    } else if (isWithoutStore(m_journal, now.m_boot)) {
        giveUp(call, open, now);
    } else {
        waitForRead(call, open);
    }
}

void FrontDesk::showQueue(std::uint64_t call, OpenCall open, fleet::Now now)
{
    open.m_readAfter = now.m_boot - countFreshness;
    if (m_journal.m_asOf && *m_journal.m_asOf >= open.m_readAfter) {
        reply(call, open, waitingReply(open.m_queue), now);
        return;
    }
    waitForRead(call, open);
}

void FrontDesk::waitForRead(std::uint64_t call, const OpenCall &open)
{
    m_open.emplace(call, open);
}

bool FrontDesk::wantsRead(fleet::BootTime now) const
{
    if (m_journal.m_readsOpen >= mostReads) {
        return false;
    }
    if (m_journal.m_asOf && m_writer.m_sent && now - m_writer.m_sent->m_firstSentAt > appendDoubt
        && m_journal.m_lastReadSentAt <= m_writer.m_sent->m_firstSentAt) {
        return true;
    }
    if (isWithoutStore(m_journal, now)) {
        return now - m_journal.m_lastReadSentAt >= probeInterval;
    }
    return std::any_of(m_open.begin(), m_open.end(), [&](const auto &entry) {
        return !entry.second.m_waitsForStore && m_journal.m_lastReadSentAt < entry.second.m_readAfter;
    });
}

callers::Reply FrontDesk::stateReply(const journal::JobRecord &job) const
{
    callers::Reply reply = plain(callers::ReplyKind::State);
    reply.m_state = m_unconfirmed.contains(job.m_spec.m_id) && !job.m_isCancelled ? jobs::JobState::Running : stateOf(job);
    return reply;
}

callers::Reply FrontDesk::waitingReply(const fleet::QueueId &queue) const
{
    callers::Reply reply = plain(callers::ReplyKind::Waiting);
    reply.m_waitingJobs = static_cast<std::size_t>(std::count_if(m_journal.m_ledger.m_jobs.begin(), m_journal.m_ledger.m_jobs.end(), [&](const auto &entry) {
        const journal::JobRecord &job = entry.second;
        return job.m_spec.m_queue == queue && !job.m_hasBegun && !job.isOver();
    }));
    return reply;
}

bool FrontDesk::tryAnswer(std::uint64_t call, const OpenCall &open, fleet::Now now)
{
    const journal::JobRecord *job = journal::findJob(m_journal.m_ledger, open.m_job);
    if (open.m_kind == callers::CallKind::Show && open.m_job == jobs::JobId()) {
        reply(call, open, waitingReply(open.m_queue), now);
    } else if (job == nullptr) {
        reply(call, open, plain(callers::ReplyKind::NoSuchJob), now);
    } else if (open.m_kind == callers::CallKind::Show) {
        reply(call, open, stateReply(*job), now);
    } else {
        cancel(call, open, now);
        return false;
    }
    return true;
}

void FrontDesk::onJournalRead(fleet::Now now)
{
    std::vector<std::pair<std::uint64_t, OpenCall>> ready;
    for (const auto &[call, open] : m_open) {
        if (!open.m_waitsForStore && m_journal.m_asOf && *m_journal.m_asOf >= open.m_readAfter) {
            ready.emplace_back(call, open);
        }
    }
    for (const auto &[call, open] : ready) {
        tryAnswer(call, open, now);
    }
}

void FrontDesk::onAppendEnded(std::uint64_t sequence, fleet::BootTime sentAt, const store::AppendResult &result, fleet::Now now)
{
    const journal::WriteOutcome outcome = journal::onAppendEnded(m_writer, sequence, sentAt, result, now.m_boot);
    if (outcome.m_isFenced) {
        // Nobody else uses this producer's name; a higher epoch begins its sequence anew. Records may be stored twice.
        ++m_writer.m_epoch;
        m_writer.m_sent->m_resendAt = now.m_boot;
        m_ports.log(logging::Line("callers", "fenced", logging::Level::Warning).add("epoch", m_writer.m_epoch).add("reason", result.m_reason), now);
    }
    m_storedEnd = std::max(m_storedEnd, outcome.m_end);
    for (const std::uint64_t ticket : outcome.m_stored) {
        const auto found = m_open.find(ticket);
        if (found != m_open.end()) {
            const bool isCancel = found->second.m_kind == callers::CallKind::Cancel;
            reply(ticket, OpenCall(found->second), plain(isCancel ? callers::ReplyKind::Cancelled : callers::ReplyKind::Accepted), now);
        }
    }
    for (const std::uint64_t ticket : outcome.m_refused) {
        const auto found = m_open.find(ticket);
        if (found != m_open.end()) {
            reply(ticket, OpenCall(found->second), refused("the store refused the job: " + result.m_reason), now);
        } else if (ticket == 0) {
            announce(now);
        }
    }
}

void FrontDesk::onTick(fleet::Now now)
{
    const bool isCut = isWithoutStore(m_journal, now.m_boot);
    if (isCut) {
        refuseQueued(now);
    }
    std::vector<std::pair<std::uint64_t, OpenCall>> late;
    for (const auto &[call, open] : m_open) {
        if (now.m_boot >= open.m_giveUpAt || (isCut && !open.m_waitsForStore)) {
            late.emplace_back(call, open);
        }
    }
    for (const auto &[call, open] : late) {
        giveUp(call, open, now);
    }
}

/// Records that no call to the store has carried yet cannot be stored any more once they are taken back.
void FrontDesk::refuseQueued(fleet::Now now)
{
    for (const std::uint64_t ticket : journal::withdrawUnsent(m_writer)) {
        const auto found = m_open.find(ticket);
        if (found != m_open.end()) {
            reply(ticket, OpenCall(found->second), refused(outOfReach), now);
        }
    }
}

void FrontDesk::giveUp(std::uint64_t call, const OpenCall &open, fleet::Now now)
{
    const journal::JobRecord *job = open.m_kind == callers::CallKind::Show ? journal::findJob(m_journal.m_ledger, open.m_job) : nullptr;
    if (job != nullptr && job->isOver()) {
        reply(call, open, stateReply(*job), now);
    } else if (open.m_waitsForStore) {
        reply(call, open, {callers::ReplyKind::Unknown, {}, 0, {}, "the store has not answered; ask for the job again"}, now);
    } else {
        // What was known last may be older than what another instance has shown.
        callers::Reply later = refused("the journal could not be read; try another instance");
        later.m_retryAfter = askElsewhereAfter;
        reply(call, open, later, now);
    }
}

void FrontDesk::reply(std::uint64_t call, const OpenCall &open, const callers::Reply &reply, fleet::Now now)
{
    logging::Line line = logging::Line("callers", "answer")
                             .add("call", nameOf(open.m_kind))
                             .add("request", open.m_requestId)
                             .add("job", toString(open.m_job))
                             .add("queue", open.m_queue.value())
                             .add("outcome", nameOf(reply.m_kind))
                             .add("took_ms", now.m_boot - open.m_arrivedAt)
                             .add("catalog", m_operators.m_catalog.m_version)
                             .add("catalog_age_ms", m_operators.m_asOf ? now.m_boot - *m_operators.m_asOf : fleet::Duration(-1))
                             .add("journal", m_journal.m_next)
                             .add("journal_age_ms", m_journal.m_asOf ? now.m_boot - *m_journal.m_asOf : fleet::Duration(-1));
    if (reply.m_kind == callers::ReplyKind::State) {
        line.append("state", jobs::nameOf(reply.m_state));
    }
    if (!reply.m_reason.empty()) {
        line.append("reason", reply.m_reason);
    }
    m_ports.log(line, now);
    m_meter.countAnswer(nameOf(open.m_kind), nameOf(reply.m_kind), now.m_boot - open.m_arrivedAt);
    m_ports.reply(call, reply);
    m_open.erase(call);
}

std::size_t FrontDesk::openCalls() const
{
    return m_open.size();
}

std::uint64_t FrontDesk::storedEnd() const
{
    return m_storedEnd;
}

journal::Writer &FrontDesk::writer()
{
    return m_writer;
}

}
