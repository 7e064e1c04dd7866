#include "components/settings/daemon_settings.hpp"

#include "components/settings/reader.hpp"

#include <set>

namespace settings
{

namespace
{

using namespace std::chrono_literals;

constexpr std::size_t minKeyLength = 16;
constexpr std::size_t maxPeerKeys = 2;

void readIdentity(Reader &reader, DaemonSettings &settings)
{
    settings.m_instance = fleet::InstanceId(reader.requiredText("instance"));
    settings.m_zone = fleet::ZoneId(reader.requiredText("zone"));
    settings.m_region = fleet::RegionId(reader.requiredText("region"));
}

void readEndpoints(Reader &reader, DaemonSettings &settings)
{
    settings.m_httpEndpoint = reader.requiredEndpoint("listen.http");
    settings.m_peerEndpoint = reader.requiredEndpoint("listen.peers");
    if (reader.has("listen.advertised_peers")) {
        settings.m_advertisedPeerEndpoint = reader.requiredEndpoint("listen.advertised_peers");
    }
    settings.m_logEndpoint = reader.requiredEndpoint("platform.log");
    settings.m_listEndpoint = reader.requiredEndpoint("platform.list");
    if (settings.m_httpEndpoint.m_port != 0 && settings.m_httpEndpoint == settings.m_peerEndpoint) {
        reader.report("listen.peers", "clashes with listen.http", "give each its own port");
    }
}

void readPeers(Reader &reader, DaemonSettings &settings)
{
    std::set<Endpoint> taken {settings.m_peerEndpoint, settings.m_httpEndpoint};
    const std::size_t count = reader.arraySize("peer");
    for (std::size_t index = 0; index < count; ++index) {
        const std::string prefix = "peer." + std::to_string(index) + ".";
        PeerSettings peer;
        peer.m_instance = fleet::InstanceId(reader.requiredText(prefix + "instance"));
        peer.m_zone = fleet::ZoneId(reader.requiredText(prefix + "zone"));
        peer.m_endpoint = reader.requiredEndpoint(prefix + "address");
        if (!taken.insert(peer.m_endpoint).second) {
            reader.report(prefix + "address", "is used twice", "give each instance its own address and port");
        }
        settings.m_peers.push_back(peer);
    }
}

void checkKeyLength(Reader &reader, const std::string &key, const std::string &value)
{
    if (!value.empty() && value.size() < minKeyLength) {
        reader.report(key, "is too short", "use at least " + std::to_string(minKeyLength) + " characters");
    }
}

void readKeys(Reader &reader, DaemonSettings &settings)
{
    settings.m_operatorToken = reader.requiredText("security.operator_token");
    checkKeyLength(reader, "security.operator_token", settings.m_operatorToken);
    settings.m_requestIdKey = reader.requiredText("security.request_id_key");
    checkKeyLength(reader, "security.request_id_key", settings.m_requestIdKey);
    settings.m_peerKeys = reader.requiredTexts("security.peer_keys");
    if (settings.m_peerKeys.size() > maxPeerKeys) {
        reader.report("security.peer_keys", "holds too many keys", "keep the present key first and at most one older key");
    }
    for (const std::string &key : settings.m_peerKeys) {
        checkKeyLength(reader, "security.peer_keys", key);
    }
}

void readTraffic(Reader &reader, DaemonSettings &settings)
{
    settings.m_trafficThreads = static_cast<int>(reader.integer("traffic.threads", settings.m_trafficThreads, 1, 64));
    settings.m_maxBodyBytes = reader.integer("traffic.max_body_bytes", settings.m_maxBodyBytes, 1024, 64 << 20);
    settings.m_maxHeaderBytes = reader.integer("traffic.max_header_bytes", settings.m_maxHeaderBytes, 1024, 1 << 20);
    settings.m_balancerDelay = reader.duration("stop.balancer_delay", settings.m_balancerDelay, 0ms, 60s);
    settings.m_drainLimit = reader.duration("stop.limit", settings.m_drainLimit, 1s, 1h);
}

void readTimes(Reader &reader, DaemonSettings &settings)
{
    settings.m_heartbeatInterval = reader.duration("control.heartbeat_interval", settings.m_heartbeatInterval, 50ms, 10s);
    settings.m_viewFreshness = reader.duration("control.view_freshness", settings.m_viewFreshness, 500ms, 15s);
    settings.m_leaseLength = reader.duration("control.lease_length", settings.m_leaseLength, 1s, 5min);
    settings.m_renewInterval = reader.duration("control.renew_interval", settings.m_renewInterval, 200ms, 1min);
    settings.m_holderAuthority = reader.duration("control.holder_authority", settings.m_holderAuthority, 1s, 10min);
    settings.m_logPollInterval = reader.duration("control.log_poll_interval", settings.m_logPollInterval, 50ms, 5s);
    settings.m_listPollInterval = reader.duration("control.list_poll_interval", settings.m_listPollInterval, 100ms, 1min);
    settings.m_groupCommitDelay = reader.duration("control.group_commit_delay", settings.m_groupCommitDelay, 1ms, 2s);
    if (settings.m_renewInterval * 2 > settings.m_leaseLength) {
        reader.report("control.renew_interval", "is over half of control.lease_length", "renew at least twice a lease");
    }
    if (settings.m_heartbeatInterval * 2 > settings.m_viewFreshness) {
        reader.report("control.heartbeat_interval", "is over half of control.view_freshness", "send at least two heartbeats in that time");
    }
}

}

DaemonSettings readDaemonSettings(Reader &reader)
{
    DaemonSettings settings;
    readIdentity(reader, settings);
    readEndpoints(reader, settings);
    readPeers(reader, settings);
    readKeys(reader, settings);
    readTraffic(reader, settings);
    readTimes(reader, settings);
    settings.m_logLevel = reader.level("log.level", settings.m_logLevel);
    reader.finish();
    return settings;
}

}
