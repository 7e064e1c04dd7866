#include "components/instance/core.hpp"

#include "components/instance/instrumented_ports.hpp"
#include "components/membership/step.hpp"

#include <algorithm>
#include <utility>

namespace instance
{

namespace
{

/// Longer than the time within which every append ends, so that there are never two appends in flight.
constexpr fleet::Duration appendTimeout {10'000};

wire::Keys toKeys(const std::vector<std::string> &keys)
{
    wire::Keys result;
    if (!keys.empty()) {
        result.m_signing = keys[0];
    }
    if (keys.size() > 1) {
        result.m_accepted = keys[1];
    }
    return result;
}

duty::Settings dutySettings(const settings::DaemonSettings &settings)
{
    duty::Settings result;
    result.m_holderAuthority = settings.m_holderAuthority;
    result.m_lease = settings.m_leaseLength;
    return result;
}

membership::Settings membershipSettings(const settings::DaemonSettings &settings)
{
    membership::Settings result;
    result.m_heartbeatInterval = settings.m_heartbeatInterval;
    result.m_suspectAfter = 4 * settings.m_heartbeatInterval;
    return result;
}

drain::Settings drainSettings(const settings::DaemonSettings &settings)
{
    drain::Settings result;
    result.m_balancerGrace = settings.m_balancerDelay;
    result.m_limit = settings.m_drainLimit;
    result.m_handoverReserve = std::min(result.m_handoverReserve, settings.m_drainLimit / 2);
    result.m_endNoticePeriod = 2 * settings.m_heartbeatInterval;
    return result;
}

/// Adds the configured peers, which are used until the platform's list has been read.
void addConfiguredPeers(Core &core)
{
    membership::ListRead list;
    for (const settings::PeerSettings &peer : core.m_settings.m_peers) {
        list.m_instances.push_back({peer.m_instance, peer.m_zone, settings::toString(peer.m_endpoint), false});
    }
    membership::step(core.m_membership, list, fleet::TimePoint());
}

}

Core makeCore(const settings::DaemonSettings &settings, fleet::Incarnation incarnation, Ports ports)
{
    Core core;
    core.m_settings = settings;
    core.m_incarnation = incarnation;
    core.m_metrics = std::make_unique<metrics::Registry>();
    core.m_ports = instrument(std::move(ports), *core.m_metrics);
    core.m_requestKeys.m_signing = settings.m_requestIdKey;
    core.m_peerKeys = toKeys(settings.m_peerKeys);
    // One record per append gives each change an offset of its own.
    core.m_configurationWriter.m_maxGroup = 1;
    core.m_batcher.m_writer = {settings.m_instance, incarnation};
    core.m_batcher.m_settings.m_interval = settings.m_groupCommitDelay;
    core.m_batcher.m_settings.m_timeout = appendTimeout;
    const std::string advertised = settings::toString(settings.m_advertisedPeerEndpoint.value_or(settings.m_peerEndpoint));
    core.m_membership = membership::makeState(membershipSettings(settings), settings.m_instance, incarnation, settings.m_zone, advertised);
    core.m_duty = duty::makeState(dutySettings(settings), core.m_batcher.m_writer, settings.m_zone);
    core.m_zoneSettings.m_viewFreshness = settings.m_viewFreshness;
    core.m_drain.m_settings = drainSettings(settings);
    core.m_requests = requests::makeState({}, settings.m_instance, incarnation, settings.m_zone);
    addConfiguredPeers(core);
    return core;
}

bool isLogReachable(const Core &core)
{
    const auto reached = [](const LogReader &reader) {
        return reader.m_readToEndAt && !reader.m_failed;
    };
    return reached(core.m_configurationReader) && reached(core.m_systemReader);
}

}
