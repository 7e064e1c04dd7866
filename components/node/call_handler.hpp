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

namespace node
{

class InstanceMetrics;
class Ports;

/// Answers the calls of callers: checks them against the catalog, stores what they hand in, and tells them what the
/// journal says.
class CallHandler
{
public:
    CallHandler(const Settings &settings,
                Ports &ports,
                const OperatorConfigView &operatorConfig,
                JournalView &journal,
                const std::map<jobs::JobId, std::uint64_t> &unconfirmedEnds,
                InstanceMetrics &instanceMetrics);

    void onCall(std::uint64_t call, const callers::Call &content, fleet::Now now);
    /// An append of this desk's writer ended.
    void onAppendEnded(std::uint64_t sequence, fleet::BootTime sentAt, const store::AppendResult &result, fleet::Now now);
    /// More of the journal has been read.
    void onJournalRead(fleet::Now now);
    /// Gives up calls whose callers will not wait longer.
    void onTick(fleet::Now now);

    /// Tells others of the instance's incarnation.
    void announceInstance(fleet::Now now);

    /// A read of the journal that calls wait for should be made now.
    bool needsJournalRead(fleet::BootTime now) const;
    std::size_t openCalls() const;
    /// End of the journal behind the last record that this desk stored.
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
        /// The journal has to be read up to a time after this before the call can be answered.
        fleet::BootTime m_minJournalAsOf;
        bool m_waitsForStore = false;
        std::string m_requestId;
    };

    void
    submit(std::uint64_t call, OpenCall openCall, const callers::Call &content, const catalog::Queue &queue, const fleet::AccountId &account, fleet::Now now);
    void cancel(std::uint64_t call, OpenCall openCall, fleet::Now now);
    void showJob(std::uint64_t call, OpenCall openCall, fleet::Now now);
    void showQueue(std::uint64_t call, OpenCall openCall, fleet::Now now);
    void waitForJournalRead(std::uint64_t call, const OpenCall &openCall);
    void refuseQueuedCalls(fleet::Now now);
    /// Answers with what is known.
    void answerWithoutWaiting(std::uint64_t call, const OpenCall &openCall, fleet::Now now);
    bool tryAnswer(std::uint64_t call, const OpenCall &openCall, fleet::Now now);
    callers::Reply stateReply(const journal::JobRecord &job) const;
    callers::Reply waitingReply(const fleet::QueueId &queue) const;
    void reply(std::uint64_t call, const OpenCall &openCall, const callers::Reply &reply, fleet::Now now);

    const Settings &m_settings;
    Ports &m_ports;
    InstanceMetrics &m_metrics;
    const OperatorConfigView &m_operatorConfig;
    JournalView &m_journal;
    /// Jobs whose end is not stored yet are shown as running.
    const std::map<jobs::JobId, std::uint64_t> &m_unconfirmedEnds;
    journal::Writer m_writer;
    std::uint64_t m_storedEnd = 0;
    std::map<std::uint64_t, OpenCall> m_openCalls;
};

}

#endif
