#ifndef COMPONENTS_NODE_SCHEDULING_DUTY_HPP
#define COMPONENTS_NODE_SCHEDULING_DUTY_HPP

#include "components/catalog/catalog.hpp"
#include "components/dispatch/account_stats.hpp"
#include "components/dispatch/environment.hpp"
#include "components/dispatch/outbox.hpp"
#include "components/dispatch/state.hpp"
#include "components/fleet/now.hpp"
#include "components/journal/writer.hpp"
#include "components/node/encoded_snapshot.hpp"
#include "components/node/events.hpp"
#include "components/node/holder_monitor.hpp"
#include "components/node/journal_view.hpp"
#include "components/node/operator_config_view.hpp"
#include "components/node/peer_message.hpp"
#include "components/node/settings.hpp"
#include "components/node/snapshot_slot.hpp"
#include "components/node/worker_list_view.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>

namespace node
{

class Ports;
struct InstanceStats;
struct Timing;

/// State of the instance with respect to the scheduling duty.
enum class DutyPhase : std::uint8_t {
    /// Another instance holds the duty, or none does.
    Following,
    /// The claim was sent, and it is not known yet whether it is stored.
    Claiming,
    /// The claim is stored; the journal is being read up to it.
    Confirming,
    Holding,
    /// The instance gave up the duty; its last records are still being stored.
    Resigning,
};

/// Leader election and scheduling of one instance. The instances elect one holder (leader) of the scheduling duty through
/// the journal. The holder schedules jobs and sends orders to workers; the others claim the duty when it becomes free or the
/// holder fails.
class SchedulingDuty
{
public:
    SchedulingDuty(const Settings &settings, const Timing &timing, Ports &ports, const OperatorConfigView &operatorConfig, JournalView &journal);

    /// @param readBefore Everything stored before this time was read before; empty if the journal's end was not reached before.
    void onJournalRead(const journal::Changes &changes, std::optional<fleet::BootTime> readBefore, fleet::Now now);
    /// A holder that lacks records gives the duty to an instance that has them.
    void onRecordsExpired(fleet::Now now);
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
    /// Records that the end of the journal is at this offset or beyond.
    void recordJournalEnd(std::uint64_t end);
    /// Handles a message from another instance.
    void onPeerMessage(const PeerMessage &message, fleet::Now now);
    void onTick(fleet::Now now);
    /// Plans and sends orders. Called once after all waiting events were handled.
    void runSchedulingCycle(fleet::Now now);
    /// Gives up the duty and claims it no more, because the process stops.
    void resign(fleet::Now now);

    /// Gives up the duty, if this instance holds or claims it, after an unexpected error.
    void abandon(fleet::Now now);

    DutyPhase phase() const;
    /// Fills in the values that only the holder has.
    void addStats(InstanceStats &stats) const;
    /// Figures of the accounts; nothing while the instance does not hold the duty.
    std::vector<dispatch::AccountStats> accountStats() const;
    journal::Writer &writer();
    journal::Writer &snapshotWriter();
    /// True if every record of the duty's writer is stored.
    bool isIdle() const;
    /// True if the journal should be read at once: another instance appended to it, a claim has to be confirmed, or the holder
    /// may have failed.
    bool needsJournalRead(fleet::Now now) const;
    /// True if the head of the snapshots should be read, so that the newest one is not overwritten.
    bool needsSnapshotHead() const;
    void onSnapshotsRead(const std::vector<store::KeyedRecord> &records, fleet::Now now);
    /// Jobs with a recorded end that is not stored yet, and the batch that has to be stored before callers may see the end.
    const std::map<jobs::JobId, std::uint64_t> &unconfirmedEnds() const;
    const HolderMonitor &holderMonitor() const;

private:
    dispatch::Environment environment() const;
    /// True if what the operators set was read as recently as a store that answers allows.
    bool isConfigCurrent(fleet::Now now) const;
    void giveUp(fleet::Now now);
    void handOverIfDue(fleet::Now now);
    bool isStrongInstanceReady(fleet::Now now) const;
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
    void encodeSnapshotIfDue(fleet::Now now);
    void resetSnapshots();
    void writeEncodedSnapshot();
    void readWorkerListIfDue(fleet::Now now);
    void logRefusals(const workers::WorkerListRead &read, fleet::Now now);

    const Settings &m_settings;
    const Timing &m_timing;
    Ports &m_ports;
    const OperatorConfigView &m_operatorConfig;
    JournalView &m_journal;
    DutyPhase m_phase = DutyPhase::Following;
    journal::Writer m_writer;
    journal::Writer m_snapshotWriter;
    /// When any holder last wrote a snapshot at the earliest, as far as this instance has learned.
    std::optional<fleet::BootTime> m_lastSnapshotAt;
    SnapshotSlot m_snapshotSlotState = SnapshotSlot::Unknown;
    /// Slot before that of the next snapshot, once it is known.
    unsigned m_snapshotSlot = 0;
    std::optional<EncodedSnapshot> m_encodedSnapshot;
    dispatch::State m_state;
    WorkerListView m_workerList;
    fleet::BootTime m_heldSince;
    fleet::BootTime m_lastAppendAt;
    /// When the latest call was sent whose answer proved that this instance is the holder.
    fleet::BootTime m_dutyConfirmedAt;
    fleet::BootTime m_appendAnsweredAt;
    /// Holder: when the last heartbeat or resignation was broadcast.
    fleet::BootTime m_lastBroadcastAt;
    bool m_hasReportedStoreSilence = false;
    HolderMonitor m_holderMonitor;
    /// End of the journal after the last record that this instance stored as the holder.
    std::uint64_t m_lastAppendEnd = 0;
    /// Highest end of the journal that this instance has learned of from appends and messages.
    std::uint64_t m_knownJournalEnd = 0;
    /// When each of the other instances last sent a message.
    std::map<fleet::InstanceId, fleet::BootTime> m_lastMessageAt;
    /// When each of the other instances last said that the store answers it.
    std::map<fleet::InstanceId, fleet::BootTime> m_lastServedAt;
    fleet::BootTime m_handOverNotBefore;
    fleet::BootTime m_claimNotBefore;
    /// When a holder last sent a message. Unlike the monitor's time it is not set when this instance steps down.
    fleet::BootTime m_holderHeardAt;
    /// Number of claims that the store has refused since a claim was last read in the journal.
    int m_refusedClaims = 0;
    /// The process is stopping and doesn't claim the duty any more.
    bool m_isStopping = false;
    std::map<jobs::JobId, std::uint64_t> m_unconfirmedEnds;
    /// Since the start of the process, over all times as the holder.
    dispatch::RunCounts m_runCounts;
    dispatch::WorkCounts m_workCounts;
    bool m_hasReadJournal = false;
};

}

#endif
