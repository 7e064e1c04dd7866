#include "components/instance/state_transfer.hpp"

#include "components/configuration/record.hpp"
#include "components/instance/core.hpp"
#include "components/instance/log_exchange.hpp"
#include "components/instance/peer_calls.hpp"
#include "components/instance/scheduler_records.hpp"
#include "components/instance/zone_scheduling.hpp"
#include "components/instance/zone_view.hpp"
#include "components/membership/view.hpp"
#include "components/records/snapshot_schedule.hpp"

namespace instance
{

namespace
{

constexpr fleet::Duration fetchInterval {2000};
constexpr fleet::Duration fetchTimeout {5000};

/// After this time a snapshot that was sent is either in the stream or lost.
constexpr fleet::Duration snapshotTimeout {30'000};

template<class Stream>
bool isDue(const Core &core, const Stream &stream, fleet::TimePoint now)
{
    const records::SnapshotView view {stream.m_next, stream.m_snapshotEnd, stream.m_snapshotAt, core.m_stateTransfer.m_readingSince};
    const membership::Rank rank = membership::rankAmongFit(core.m_membership, now);
    return stream.m_complete && records::isSnapshotDue({}, view, rank.m_place, rank.m_count, now);
}

void writeSnapshots(Core &core, fleet::TimePoint now)
{
    if (!core.m_stateTransfer.m_systemSnapshotInFlight && isDue(core, core.m_records, now)) {
        core.m_stateTransfer.m_systemSnapshotInFlight = true;
        core.m_ports.m_append(LogStream::System, records::encodeEntry(records::makeSnapshot(core.m_records)), snapshotAppend);
    }
    if (now >= core.m_stateTransfer.m_configurationSnapshotAt + snapshotTimeout && isDue(core, core.m_configuration, now)) {
        core.m_stateTransfer.m_configurationSnapshotAt = now;
        core.m_configurationWriter.add(configuration::encodeRecord(configuration::makeSnapshot(core.m_configuration)), now);
    }
}

bool isStateIncomplete(const Core &core)
{
    return !core.m_configuration.m_complete || !core.m_records.m_complete || membership::isBehind(core.m_membership);
}

void fetchState(Core &core, fleet::TimePoint now)
{
    const fleet::InstanceId from = membership::chooseSuccessor(core.m_membership, now);
    if (from.empty() || core.m_stateTransfer.m_fetchInFlight || now < core.m_stateTransfer.m_fetchedAt + fetchInterval) {
        return;
    }
    core.m_stateTransfer.m_fetchInFlight = true;
    core.m_stateTransfer.m_fetchedAt = now;
    callPeer(core, {PeerCallKind::Fetch, {}, {}, 1, from}, FetchState {}, fetchTimeout, now);
}

}

void tickStateTransfer(Core &core, fleet::TimePoint now)
{
    if (core.m_stateTransfer.m_readingSince == fleet::TimePoint()) {
        core.m_stateTransfer.m_readingSince = now;
    }
    if (isLogReachable(core)) {
        writeSnapshots(core, now);
    } else if (isStateIncomplete(core)) {
        fetchState(core, now);
    }
}

PeerReply snapshotState(const Core &core)
{
    if (!core.m_configuration.m_complete || !core.m_records.m_complete) {
        return UnknownRequest {};
    }
    return FetchedState {configuration::makeSnapshot(core.m_configuration), records::makeSnapshot(core.m_records)};
}

void onFetchEnded(Core &core, const PeerCallEnded &event, fleet::TimePoint now)
{
    core.m_stateTransfer.m_fetchInFlight = false;
    const FetchedState *state = event.m_reply ? std::get_if<FetchedState>(&*event.m_reply) : nullptr;
    if (!state) {
        return;
    }
    configuration::adopt(core.m_configuration, state->m_configuration);
    records::adopt(core.m_records, state->m_records);
    onConfigurationChanged(core, now);
    for (const scheduler::Event &job : rebuildEvents(core)) {
        feedScheduler(core, job, now);
    }
}

}
