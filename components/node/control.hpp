#ifndef COMPONENTS_NODE_CONTROL_HPP
#define COMPONENTS_NODE_CONTROL_HPP

#include "components/fleet/now.hpp"
#include "components/node/duty.hpp"
#include "components/node/event_meter.hpp"
#include "components/node/events.hpp"
#include "components/node/front_desk.hpp"
#include "components/node/journal_view.hpp"
#include "components/node/operator_view.hpp"
#include "components/node/settings.hpp"

namespace metrics
{
class Registry;
}

namespace node
{

class Ports;

/// All decisions of one instance. Runs on the control thread only.
class Control
{
public:
    /// `registry` must outlive this object.
    Control(const Settings &settings, Ports &ports, metrics::Registry &registry);

    void handle(const Event &event, fleet::Now now);
    /// Does what the events call for; called once for all that were waiting.
    void settle(fleet::Now now);
    /// Time passed.
    void tick(fleet::Now now);
    /// When tick() should be called next, at the latest.
    fleet::BootTime nextTick(fleet::Now now) const;
    /// New bounds of the deployment; what names this instance stays as it was at the start.
    void setBounds(const Settings &settings);
    bool holdsDuty() const;
    /// The planned stop is complete.
    bool isStopped() const;

private:
    void take(const CallArrived &event, fleet::Now now);
    void take(const AppendEnded &event, fleet::Now now);
    void take(const JournalRead &event, fleet::Now now);
    void take(const KeyedReadEnded &event, fleet::Now now);
    void take(const OperatorsReadEnded &event, fleet::Now now);
    void take(const ListReadEnded &event, fleet::Now now);
    void take(const StartEnded &event, fleet::Now now);
    void take(const StopEnded &event, fleet::Now now);
    void take(const LookEnded &event, fleet::Now now);
    void take(const AdviceEnded &event, fleet::Now now);
    void take(const UpkeepEnded &event, fleet::Now now);
    void take(const WaveReported &event, fleet::Now now);
    void take(const DatagramArrived &event, fleet::Now now);
    void take(const StopRequested &event, fleet::Now now);
    void noteStore(bool isAnswered, const std::string &reason, fleet::Now now);
    void tellHolder();
    void sendDue(fleet::Now now);
    void sendAppends(fleet::Now now);
    void sendReads(fleet::Now now);
    void readJournal(fleet::Now now);
    void updateReadiness(fleet::Now now);
    void checkStop(fleet::Now now);
    Figures figures(fleet::Now now) const;

    Settings m_settings;
    Ports &m_ports;
    OperatorView m_operators;
    JournalView m_journal;
    EventMeter m_meter;
    Duty m_duty;
    FrontDesk m_desk;
    std::optional<fleet::BootTime> m_followSentAt;
    fleet::BootTime m_nextFollowAt;
    /// End of the journal that the holder was last told of.
    std::uint64_t m_toldEnd = 0;
    /// Since when the store has left reads of the journal without answers.
    std::optional<fleet::BootTime> m_storeLostSince;
    bool m_isReady = false;
    std::optional<fleet::BootTime> m_stopRequestedAt;
    fleet::BootTime m_forgotAt;
    bool m_areDoorsClosed = false;
    bool m_isStopped = false;
};

}

#endif
