#include "components/membership/heartbeat_recipients.hpp"

#include "components/membership/state.hpp"
#include "components/membership/view.hpp"

#include <algorithm>

namespace membership
{

namespace
{

using Instances = std::vector<fleet::InstanceId>;

bool isReachable(const Member &member)
{
    return member.m_phase != MemberPhase::Gone && !member.m_address.empty();
}

/// Returns the instances of one zone, ordered by identifier. Suspected ones are excluded unless all are suspected.
Instances instancesOf(const State &state, const fleet::ZoneId &zone, fleet::TimePoint now)
{
    Instances unsuspected;
    Instances all;
    for (const auto &[id, member] : state.m_members) {
        if (member.m_zone != zone || !isReachable(member)) {
            continue;
        }
        all.push_back(id);
        if (!isSuspected(state, member, now)) {
            unsuspected.push_back(id);
        }
    }
    return unsuspected.empty() ? all : unsuspected;
}

/// Returns the instances of another zone that this instance is paired with.
Instances counterparts(std::size_t ownPlace, std::size_t ownCount, const Instances &others)
{
    if (others.empty()) {
        return {};
    }
    if (ownCount >= others.size()) {
        return {others[ownPlace % others.size()]};
    }
    Instances paired;
    for (std::size_t place = ownPlace; place < others.size(); place += ownCount) {
        paired.push_back(others[place]);
    }
    return paired;
}

std::set<fleet::ZoneId> otherZones(const State &state)
{
    std::set<fleet::ZoneId> zones;
    for (const auto &[id, member] : state.m_members) {
        if (member.m_zone != state.m_zone) {
            zones.insert(member.m_zone);
        }
    }
    return zones;
}

}

std::vector<fleet::InstanceId> heartbeatRecipients(const State &state, fleet::TimePoint now)
{
    const bool fullMesh = state.m_members.size() + 1 <= state.m_settings.m_fullMeshUpTo;
    Instances recipients;
    for (const auto &[id, member] : state.m_members) {
        if ((fullMesh || member.m_zone == state.m_zone) && isReachable(member)) {
            recipients.push_back(id);
        }
    }
    if (fullMesh) {
        return recipients;
    }
    Instances own = instancesOf(state, state.m_zone, now);
    own.insert(std::lower_bound(own.begin(), own.end(), state.m_self), state.m_self);
    const auto place = static_cast<std::size_t>(std::lower_bound(own.begin(), own.end(), state.m_self) - own.begin());
    for (const fleet::ZoneId &zone : otherZones(state)) {
        const Instances paired = counterparts(place, own.size(), instancesOf(state, zone, now));
        recipients.insert(recipients.end(), paired.begin(), paired.end());
    }
    return recipients;
}

}
