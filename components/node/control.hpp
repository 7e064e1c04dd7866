#ifndef COMPONENTS_NODE_CONTROL_HPP
#define COMPONENTS_NODE_CONTROL_HPP

#include "components/fleet/now.hpp"
#include "components/node/call_handler.hpp"
#include "components/node/events.hpp"
#include "components/node/instance_metrics.hpp"
#include "components/node/journal_view.hpp"
#include "components/node/operator_config_view.hpp"
#include "components/node/scheduling_duty.hpp"
#include "components/node/settings.hpp"
#include "components/node/timing.hpp"

namespace metrics
{
class Registry;
}

namespace store
{
struct Topic;
}

namespace node
{

class Ports;

/// Decides everything that one instance does: handles events and the passing of time, and acts through `Ports`. Used on the
/// control thread only.
class Control
{
public:
    /// `registry` must outlive this object.
    Control(const Settings &settings, Ports &ports, metrics::Registry &registry);

    void handle(const Event &event, fleet::Now now);
    /// Schedules and sends what the handled events require. Called once after all waiting events were handled.
    void onEventsHandled(fleet::Now now);
    /// Does the periodic work: timeouts, heartbeats, readiness, metrics and the steps of a planned stop.
    void tick(fleet::Now now);
    /// Returns the latest time for the next call of tick().
    fleet::BootTime nextTick(fleet::Now now) const;
    /// Applies the bounds of the deployment; settings that identify this instance keep their values from the start.
    void setBounds(const Settings &settings);
    bool holdsDuty() const;
    /// True once a planned stop is complete.
    bool isStopped() const;

private:
    void process(const CallArrived &event, fleet::Now now);
    void process(const AppendEnded &event, fleet::Now now);
    void process(const JournalRead &event, fleet::Now now);
    void process(const KeyedReadEnded &event, fleet::Now now);
    void process(const OperatorsReadEnded &event, fleet::Now now);
    void process(const WorkerListReadEnded &event, fleet::Now now);
    void process(const StartEnded &event, fleet::Now now);
    void process(const StopEnded &event, fleet::Now now);
    void process(const PollEnded &event, fleet::Now now);
    void process(const AdviceEnded &event, fleet::Now now);
    void process(const UpkeepEnded &event, fleet::Now now);
    void process(const WaveReported &event, fleet::Now now);
    void process(const DatagramArrived &event, fleet::Now now);
    void process(const ClientsRefused &event, fleet::Now now);
    void process(const TrafficFailed &event, fleet::Now now);
    void process(const StopRequested &event, fleet::Now now);
    template<class Action>
    bool contain(const char *where, fleet::Now now, Action action);
    template<class Send>
    void sendOrEnd(const char *where, fleet::Now now, Send send, const Event &withoutAnswer);
    void recordUnexpectedError(const char *where, const std::string &reason, fleet::Now now);
    void updateStoreStatus(bool isAnswered, const std::string &reason, fleet::Now now);
    void notifyHolder();
    void sendPending(fleet::Now now);
    void sendAppends(fleet::Now now);
    void sendDueAppends(journal::Writer &writer, const store::Topic &topic, WriterKind kind, fleet::Now now);
    void sendReads(fleet::Now now);
    void readJournal(fleet::Now now);
    void updateReadiness(fleet::Now now);
    void checkStop(fleet::Now now);
    InstanceStats collectStats(fleet::Now now) const;

    Settings m_settings;
    Timing m_timing;
    Ports &m_ports;
    OperatorConfigView m_operatorConfig;
    JournalView m_journal;
    InstanceMetrics m_metrics;
    SchedulingDuty m_duty;
    CallHandler m_callHandler;
    std::optional<fleet::BootTime> m_periodicReadSentAt;
    fleet::BootTime m_nextPeriodicReadAt;
    /// The journal end that was last reported to the holder.
    std::uint64_t m_notifiedEnd = 0;
    /// When reads of the journal began to fail; empty while they succeed.
    std::optional<fleet::BootTime> m_storeUnreachableSince;
    bool m_isReady = false;
    std::optional<fleet::BootTime> m_stopRequestedAt;
    fleet::BootTime m_lastForgetAt;
    std::vector<dispatch::AccountStats> m_accountStats;
    fleet::BootTime m_accountsMeasuredAt;
    bool m_hasStoppedAccepting = false;
    bool m_isStopped = false;
};

}

#endif
