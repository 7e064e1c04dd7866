#ifndef COMPONENTS_MEMBERSHIP_STATE_HPP
#define COMPONENTS_MEMBERSHIP_STATE_HPP

#include "components/configuration/version.hpp"
#include "components/fleet/fencing_token.hpp"
#include "components/membership/member.hpp"
#include "components/membership/settings.hpp"
#include "components/membership/take_out.hpp"
#include "components/membership/zone_summary.hpp"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace membership
{

/// Send time of one heartbeat of this instance.
struct SentHeartbeat
{
    std::uint64_t m_sequence = 0;
    fleet::TimePoint m_at;
};

/// One instance's view of the others.
struct State
{
    Settings m_settings;
    fleet::InstanceId m_self;
    fleet::Incarnation m_incarnation;
    fleet::ZoneId m_zone;
    std::string m_address;
    MemberPhase m_phase = MemberPhase::Live;
    std::vector<requests::Issuer> m_takenOverIssuers;
    configuration::Version m_configuration;
    fleet::FencingToken m_token;
    std::map<fleet::InstanceId, Member> m_members;
    std::map<fleet::ZoneId, ZoneSummary> m_summaries;
    /// Provisional take-outs, which are not known to be in the log, by change id.
    std::map<configuration::ChangeId, TakeOut> m_takeOuts;
    /// Changes that are in the log, so that late copies of their take-outs are ignored.
    std::set<configuration::ChangeId> m_appliedChanges;
    /// When this instance's view of the configuration was last fresh, directly or by relay.
    std::optional<fleet::TimePoint> m_viewFreshAt;
    std::optional<fleet::TimePoint> m_listAsOf;
    std::uint64_t m_sequence = 0;
    std::deque<SentHeartbeat> m_sent;
    fleet::TimePoint m_sentAt;
    /// Index of the first member whose gossip entry goes into the next heartbeat.
    std::size_t m_gossipCursor = 0;
};

State makeState(const Settings &settings, const fleet::InstanceId &self, fleet::Incarnation incarnation, const fleet::ZoneId &zone, const std::string &address);

}

#endif
