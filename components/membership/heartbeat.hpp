#ifndef COMPONENTS_MEMBERSHIP_HEARTBEAT_HPP
#define COMPONENTS_MEMBERSHIP_HEARTBEAT_HPP

#include "components/configuration/version.hpp"
#include "components/fleet/fencing_token.hpp"
#include "components/fleet/identifiers.hpp"
#include "components/fleet/incarnation.hpp"
#include "components/fleet/time.hpp"
#include "components/membership/member_phase.hpp"
#include "components/membership/take_out.hpp"
#include "components/membership/zone_summary.hpp"
#include "components/requests/routing.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace membership
{

/// The sender's information about another instance.
struct GossipEntry
{
    fleet::InstanceId m_instance;
    fleet::Incarnation m_incarnation;
    fleet::ZoneId m_zone;
    std::string m_address;
    MemberPhase m_phase = MemberPhase::Live;
    /// Time since the sender last received information about the instance.
    fleet::Duration m_age {0};

    bool operator==(const GossipEntry &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(m_instance, m_incarnation, m_zone, m_address, m_phase);
        fleet::serializeDuration(archive, m_age);
    }
};

/// One UDP message from one instance to another.
struct Heartbeat
{
    fleet::InstanceId m_from;
    fleet::Incarnation m_incarnation;
    /// Counts the sender's heartbeats to all instances from 1.
    std::uint64_t m_sequence = 0;
    /// The last sequence received from the recipient, and its incarnation. Proves to the recipient that this message was sent
    /// after that heartbeat.
    fleet::Incarnation m_echoIncarnation;
    std::uint64_t m_echo = 0;
    fleet::ZoneId m_zone;
    std::string m_address;
    MemberPhase m_phase = MemberPhase::Live;
    /// The issuers whose request ids the sender dispatches in addition to its own.
    std::vector<requests::Issuer> m_takenOverIssuers;
    configuration::Version m_configuration;
    /// True if the sender's view of the configuration has ever been fresh.
    bool m_hasView = false;
    /// Time since the sender's view was last fresh, directly or by relay.
    fleet::Duration m_viewAge {0};
    /// Highest token of its own zone that the sender has read.
    fleet::FencingToken m_token;
    std::vector<ZoneSummary> m_zones;
    std::vector<TakeOut> m_takeOuts;
    std::vector<GossipEntry> m_gossip;

    bool operator==(const Heartbeat &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(m_from, m_incarnation, m_sequence, m_echoIncarnation, m_echo, m_zone, m_address, m_phase, m_takenOverIssuers);
        archive(m_configuration, m_hasView);
        fleet::serializeDuration(archive, m_viewAge);
        archive(m_token, m_zones, m_takeOuts, m_gossip);
    }
};

}

#endif
