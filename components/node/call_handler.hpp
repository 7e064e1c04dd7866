#ifndef COMPONENTS_NODE_CALL_HANDLER_HPP
#define COMPONENTS_NODE_CALL_HANDLER_HPP

#include "components/callers/call.hpp"
#include "components/callers/reply.hpp"
#include "components/fleet/now.hpp"
#include "components/jobs/job_id.hpp"
#include "components/journal/writer.hpp"
#include "components/node/journal_view.hpp"
#include "components/node/operator_config_view.hpp"
#include "components/node/settings.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <vector>

namespace node
{

class InstanceMetrics;
class Ports;
struct HolderMonitor;
struct Timing;

/// Handles the calls of callers: checks them against the catalog, appends submissions and cancellations to the journal, and
/// answers queries from what was read of the journal.
class CallHandler
{
public:
    CallHandler(const Settings &settings,
                const Timing &timing,
                Ports &ports,
                const OperatorConfigView &operatorConfig,
                JournalView &journal,
                const std::map<jobs::JobId, std::uint64_t> &unconfirmedEnds,
                const HolderMonitor &holderMonitor,
                InstanceMetrics &instanceMetrics);

    void onCall(std::uint64_t call, const callers::Call &content, fleet::Now now);
    /// Answers a call whose handling ended with an unexpected error, unless it still waits for its record or for a read.
    void onCallFailed(std::uint64_t call, const callers::Call &content, fleet::Now now);
    /// Handles the end of an append by writer().
    void onAppendEnded(std::uint64_t sequence, fleet::BootTime sentAt, const store::AppendResult &result, fleet::Now now);
    /// Answers the calls that waited for this read of the journal.
    void onJournalRead(fleet::Now now);
    /// Answers the calls whose callers stop waiting soon, and those that need the store while it is unreachable.
    void onTick(fleet::Now now);

    /// Answers all open calls without waiting for the store, because the process ends.
    void answerOpenCalls(fleet::Now now);

    /// Records the start of this instance in the journal, with its incarnation, address and key.
    void announceInstance(fleet::Now now);

    /// True if the journal should be read now, because calls wait for a read or to find out whether the store answers.
    bool needsJournalRead(fleet::BootTime now) const;
    std::size_t openCalls() const;
    /// End of the journal after the last record that writer() stored.
    std::uint64_t storedEnd() const;
    journal::Writer &writer();

private:
    struct OpenCall
    {
        callers::CallKind m_kind = callers::CallKind::Show;
        jobs::JobId m_job;
        fleet::QueueId m_queue;
        fleet::BootTime m_arrivedAt;
        fleet::BootTime m_answerBy;
        /// The journal must have been read as of this time or later before the call can be answered.
        fleet::BootTime m_minJournalAsOf;
        bool m_waitsForAppend = false;
        /// True if the caller asks how many jobs of the queue wait; m_job has no meaning then, and each value of it names a job.
        bool m_isForQueue = false;
        std::string m_requestId;
        /// Submit: why the job can never run within the maximum of its account, while it is read whether it is stored already.
        std::string m_overMaximum;
    };

    /// A record of m_writer that is not known to be stored or refused yet.
    struct PendingRecord
    {
        jobs::JobId m_job;
        callers::CallKind m_kind = callers::CallKind::Submit;
        /// The calls that wait for the outcome; calls that were answered meanwhile may still be listed.
        std::vector<std::uint64_t> m_calls;
    };

    void
    submit(std::uint64_t call, OpenCall openCall, const callers::Call &content, const catalog::Queue &queue, const fleet::AccountId &account, fleet::Now now);
    /// True if a catalog that was replaced of late allowed the submission, so that an earlier attempt of it may be on its way to the store.
    bool mayHaveBeenAllowed(const callers::Submission &submission, const fleet::AccountId &account, fleet::BootTime now) const;
    /// True if catalogs that are not known here were replaced of late, one of which may have allowed a submission in the same way.
    bool hasSkippedCatalogs(fleet::BootTime now) const;
    /// How long an append that a replaced catalog allowed may still be stored.
    fleet::Duration replacedCatalogDoubtTime() const;
    void cancel(std::uint64_t call, OpenCall openCall, fleet::Now now);
    void showJob(std::uint64_t call, OpenCall openCall, fleet::Now now);
    void showQueue(std::uint64_t call, OpenCall openCall, fleet::Now now);
    void waitForJournalRead(std::uint64_t call, const OpenCall &openCall);
    /// Appends the record and lets the call wait for the outcome.
    void append(std::uint64_t call, OpenCall openCall, std::string record);
    /// Answers the calls that wait for the record, and forgets it.
    void finishRecord(std::uint64_t ticket, const callers::Reply &submitReply, const callers::Reply &cancelReply, fleet::Now now);
    void refuseQueuedCalls(fleet::Now now);
    /// Answers without waiting for the store: with the state of a job that has ended, or that the outcome is not known, or with
    /// a refusal.
    void answerWithoutWaiting(std::uint64_t call, const OpenCall &openCall, fleet::Now now);
    /// Refuses a submission that exceeds the maximum of its account, unless it is stored already or its record is in doubt.
    void answerOverMaximum(std::uint64_t call, const OpenCall &openCall, fleet::Now now);
    bool tryAnswer(std::uint64_t call, const OpenCall &openCall, fleet::Now now);
    callers::Reply refusal(const std::string &reason, fleet::Now now) const;
    callers::Reply stateReply(const journal::JobRecord &job) const;
    callers::Reply waitingReply(const fleet::QueueId &queue) const;
    void reply(std::uint64_t call, const OpenCall &openCall, const callers::Reply &reply, fleet::Now now);

    const Settings &m_settings;
    const Timing &m_timing;
    Ports &m_ports;
    InstanceMetrics &m_metrics;
    const OperatorConfigView &m_operatorConfig;
    JournalView &m_journal;
    /// Jobs whose end is not stored yet are shown as running.
    const std::map<jobs::JobId, std::uint64_t> &m_unconfirmedEnds;
    const HolderMonitor &m_holderMonitor;
    journal::Writer m_writer;
    std::uint64_t m_storedEnd = 0;
    std::map<std::uint64_t, OpenCall> m_openCalls;
    /// By ticket, which is the number of the call that caused the record.
    std::map<std::uint64_t, PendingRecord> m_pendingRecords;
    /// Tickets of the pending submissions. A job that is submitted again meanwhile joins its record: whether the job runs is only
    /// known when the outcome of that record is.
    std::map<jobs::JobId, std::uint64_t> m_pendingSubmissions;
};

}

#endif
