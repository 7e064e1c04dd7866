#ifndef COMPONENTS_MEMBERSHIP_MEMBER_HPP
#define COMPONENTS_MEMBERSHIP_MEMBER_HPP

#include "components/configuration/identifiers.hpp"
#include "components/configuration/version.hpp"
#include "components/fleet/fencing_token.hpp"
#include "components/fleet/identifiers.hpp"
#include "components/fleet/incarnation.hpp"
#include "components/fleet/time.hpp"
#include "components/membership/member_phase.hpp"
#include "components/requests/routing.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace membership
{

/// Another instance, as this one sees it.
struct Member
{
    fleet::InstanceId m_id;
    /// 0 until a heartbeat or gossip about the instance arrives.
    fleet::Incarnation m_incarnation;
    fleet::ZoneId m_zone;
    std::string m_address;
    MemberPhase m_phase = MemberPhase::Live;
    bool m_listed = false;
    /// The platform's list marks the current incarnation as leaving. Reset when a later incarnation is seen.
    bool m_listLeaving = false;
    /// Last sequence received directly.
    std::uint64_t m_sequence = 0;
    /// Last information about the instance, directly or by relay. An estimate only.
    fleet::TimePoint m_heardAt;
    fleet::TimePoint m_directAt;
    /// The instance certainly sent a message after this time. Unlike m_heardAt this stays correct if this process was paused.
    fleet::TimePoint m_provenAt;
    fleet::TimePoint m_firstSeenAt;
    std::vector<requests::Issuer> m_takenOverIssuers;
    configuration::Version m_configuration;
    fleet::FencingToken m_token;
    /// Take-outs that the current incarnation has sent, which confirms that it received them.
    std::vector<configuration::ChangeId> m_takeOuts;

    bool operator==(const Member &) const = default;
};

}

#endif
