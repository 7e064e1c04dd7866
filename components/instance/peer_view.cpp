#include "components/instance/peer_view.hpp"

#include "components/http/address_error.hpp"
#include "components/instance/core.hpp"
#include "components/instance/zone_view.hpp"
#include "components/membership/step.hpp"
#include "components/wire/authentication_error.hpp"
#include "components/wire/codec.hpp"
#include "components/wire/envelope.hpp"

namespace instance
{

namespace
{

constexpr std::uint8_t heartbeatVersion = 1;

std::optional<http::Address> toAddress(const std::string &text)
{
    try {
        return http::parseAddress(text);
    } catch (const http::AddressError &) {
        return std::nullopt;
    }
}

/// Returns the instance that listens at the address; empty if it is unknown.
fleet::InstanceId instanceAt(const Core &core, const std::string &address)
{
    for (const auto &[id, member] : core.m_membership.m_members) {
        if (member.m_address == address) {
            return id;
        }
    }
    return {};
}

void send(Core &core, const membership::SendHeartbeat &action)
{
    const auto address = toAddress(action.m_address);
    const fleet::InstanceId to = instanceAt(core, action.m_address);
    if (!address || to.empty()) {
        return;
    }
    const wire::Envelope envelope {core.m_settings.m_instance,
                                   core.m_incarnation,
                                   to,
                                   ++core.m_lastDatagram,
                                   wire::MessageType::Heartbeat,
                                   wire::encode(heartbeatVersion, action.m_heartbeat)};
    core.m_ports.m_sendDatagram(*address, wire::encodeSigned(core.m_peerKeys, envelope));
}

/// Returns the heartbeat in the datagram; absent if the datagram is not authentic or was received before.
std::optional<membership::Heartbeat> verifyHeartbeat(Core &core, const std::string &bytes)
{
    try {
        const wire::Envelope envelope = wire::decodeVerified(core.m_peerKeys, core.m_settings.m_instance, bytes);
        if (envelope.m_type != wire::MessageType::Heartbeat || !wire::accept(core.m_datagramGuard, envelope)) {
            return std::nullopt;
        }
        const auto heartbeat = wire::decode<membership::Heartbeat>(heartbeatVersion, envelope.m_payload);
        const bool isFromSender = heartbeat.m_from == envelope.m_from && heartbeat.m_incarnation == envelope.m_incarnation;
        return isFromSender ? std::optional(heartbeat) : std::nullopt;
    } catch (const wire::AuthenticationError &) {
        return std::nullopt;
    } catch (const wire::CodecError &) {
        return std::nullopt;
    }
}

}

void feedMembership(Core &core, const membership::Event &event, fleet::TimePoint now)
{
    for (const membership::SendHeartbeat &action : membership::step(core.m_membership, event, now)) {
        send(core, action);
    }
}

void tickPeers(Core &core, fleet::TimePoint now)
{
    feedMembership(core, membership::Tick {}, now);
    updateRequestPolicies(core, now);
    recordTakeOuts(core, now);
}

void onDatagramReceived(Core &core, const DatagramReceived &event, fleet::TimePoint now)
{
    if (const auto heartbeat = verifyHeartbeat(core, event.m_bytes)) {
        feedMembership(core, membership::HeartbeatReceived {*heartbeat}, now);
    } else {
        core.m_metrics->counter("foxtailcross_datagrams_dropped_total", "Datagrams that were no authentic new heartbeat.").add();
    }
}

void updateListedPeers(Core &core, const platform::PlatformList &list, fleet::TimePoint now)
{
    membership::ListRead read {list.m_asOf, {}};
    for (const platform::InstanceEntry &entry : list.m_instances) {
        read.m_instances.push_back({entry.m_id, entry.m_zone, http::toString(entry.m_address), entry.m_leaving});
    }
    feedMembership(core, read, now);
}

std::optional<http::Address> findAddress(const Core &core, const fleet::InstanceId &instance)
{
    const auto found = core.m_membership.m_members.find(instance);
    return found == core.m_membership.m_members.end() ? std::nullopt : toAddress(found->second.m_address);
}

}
