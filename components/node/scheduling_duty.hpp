#ifndef COMPONENTS_NODE_SCHEDULING_DUTY_HPP
#define COMPONENTS_NODE_SCHEDULING_DUTY_HPP

#include "components/catalog/catalog.hpp"
#include "components/dispatch/environment.hpp"
#include "components/dispatch/outbox.hpp"
#include "components/dispatch/state.hpp"
#include "components/fleet/now.hpp"
#include "components/journal/writer.hpp"
#include "components/node/events.hpp"
#include "components/node/holder_monitor.hpp"
#include "components/node/journal_view.hpp"
#include "components/node/operator_config_view.hpp"
#include "components/node/peer_message.hpp"
#include "components/node/settings.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>

namespace node
{

class Ports;
struct InstanceStats;

/// Where the instance stands with the scheduling duty.
enum class DutyPhase : std::uint8_t {
    /// Another instance holds it, or nobody does.
    Following,
    /// The claim was sent and its fate is not known.
    Claiming,
    /// The claim is stored; the journal is read up to it.
    Confirming,
    Holding,
    /// Given up by this instance; what it recorded last is still being stored.
    Resigning,
};

/// The scheduling duty of one instance: takes it where nobody holds it, and carries it out.
class SchedulingDuty
{
public:
    SchedulingDuty(const Settings &settings, Ports &ports, const OperatorConfigView &operatorConfig, JournalView &journal);

    void onJournalRead(const journal::Changes &changes, fleet::Now now);
    void onAppendEnded(const AppendTag &tag, fleet::BootTime sentAt, const store::AppendResult &result, fleet::Now now);
    void onWorkerListRead(const WorkerListReadEnded &event, fleet::Now now);
    void onStartEnded(const StartEnded &event, fleet::Now now);
    void onStopEnded(const StopEnded &event, fleet::Now now);
    void onPollEnded(const PollEnded &event, fleet::Now now);
    void onAdviceEnded(const AdviceEnded &event, fleet::Now now);
    void onUpkeepEnded(const UpkeepEnded &event, fleet::Now now);
    void onWaveReported(const WaveReported &event, fleet::Now now);
    void onCatalogChanged(fleet::Now now);
    void onBoundsChanged();
    /// The journal reaches at least as far as this.
    void noteJournalEnd(std::uint64_t end);
    /// Another instance sent a message.
    void onPeerMessage(const PeerMessage &message, fleet::Now now);
    void onTick(fleet::Now now);
    /// Plans and gives orders, after all events that were waiting.
    void runSchedulingCycle(fleet::Now now);
    /// Gives the duty up, because the process stops.
    void resign(fleet::Now now);

    DutyPhase phase() const;
    /// Fills in what only the holder knows.
    void addStats(InstanceStats &stats) const;
    journal::Writer &writer();
    journal::Writer &snapshotWriter();
    /// Everything recorded has been stored.
    bool isIdle() const;
    /// The journal should be read at once: another instance appended to it, or the holder may be gone.
    bool needsJournalRead(fleet::Now now) const;
    /// Jobs that ended, with the batch that has to be stored before that may be told.
    const std::map<jobs::JobId, std::uint64_t> &unconfirmedEnds() const;

private:
    dispatch::Environment environment() const;
    void broadcastResignation(fleet::Now now);
    void broadcast(const PeerMessage &message);
    void sendHeartbeats(fleet::Now now);
    fleet::Duration storeSilence(fleet::Now now) const;
    std::set<fleet::ZoneId> suspectedZones(fleet::Now now) const;
    void claimIfDue(fleet::Now now);
    void claim(fleet::Now now);
    void startHolding(fleet::Now now);
    void stepDown(const std::string &why, fleet::Now now);
    void processOutbox(dispatch::Outbox &&outbox, fleet::Now now);
    void onSnapshotStored(const journal::WriteOutcome &outcome, fleet::Now now);
    void writeSnapshotIfDue(fleet::Now now);

    const Settings &m_settings;
    Ports &m_ports;
    const OperatorConfigView &m_operatorConfig;
    JournalView &m_journal;
    DutyPhase m_phase = DutyPhase::Following;
    journal::Writer m_writer;
    journal::Writer m_snapshotWriter;
    /// When a snapshot was last written by any holder, as far as this instance knows.
    std::optional<fleet::BootTime> m_lastSnapshotAt;
    unsigned m_snapshotSlot = 0;
    dispatch::State m_state;
    std::map<fleet::WorkerId, workers::Registration> m_workerList;
    std::optional<std::uint64_t> m_workerListNextOffset;
    bool m_isWorkerListReadOpen = false;
    fleet::BootTime m_nextWorkerListReadAt;
    fleet::BootTime m_heldSince;
    fleet::BootTime m_lastAppendAt;
    /// The duty was proved at this time: a call that was sent then showed no other holder.
    fleet::BootTime m_lastStoreContact;
    fleet::BootTime m_appendAnsweredAt;
    /// Holder: when the last messages to the other instances were sent.
    fleet::BootTime m_lastBroadcastAt;
    bool m_hasReportedStoreSilence = false;
    HolderMonitor m_holderMonitor;
    /// End of the journal behind the last record that this instance stored as the holder.
    std::uint64_t m_lastAppendEnd = 0;
    /// The journal is known to reach as far as this.
    std::uint64_t m_knownJournalEnd = 0;
    /// When instances last answered.
    std::map<fleet::InstanceId, fleet::BootTime> m_lastMessageAt;
    fleet::BootTime m_claimNotBefore;
    /// The process stops and takes no duty any more.
    bool m_isStopping = false;
    std::map<jobs::JobId, std::uint64_t> m_unconfirmedEnds;
    bool m_hasReadJournal = false;
};

}

#endif
