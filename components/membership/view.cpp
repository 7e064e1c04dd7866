#include "components/membership/view.hpp"

#include "components/membership/state.hpp"
#include "components/records/holder.hpp"

#include <algorithm>

namespace membership
{

namespace
{

bool isHolderUnfit(const State &state, const records::Holder &holder, fleet::TimePoint now)
{
    if (holder.m_writer.m_instance == state.m_self) {
        return holder.m_writer.m_incarnation != state.m_incarnation;
    }
    const auto found = state.m_members.find(holder.m_writer.m_instance);
    if (found == state.m_members.end()) {
        return true;
    }
    return found->second.m_incarnation != holder.m_writer.m_incarnation || !isFit(state, found->second, now);
}

/// True if the member's process may still be running.
bool mayRun(const Member &member)
{
    return member.m_phase != MemberPhase::Gone;
}

fleet::TimePoint zonePeersHeardAt(const State &state, fleet::TimePoint now)
{
    fleet::TimePoint earliest = now;
    fleet::TimePoint latestAny;
    bool hasPeer = false;
    for (const auto &[id, member] : state.m_members) {
        latestAny = std::max(latestAny, member.m_provenAt);
        if (member.m_zone == state.m_zone && mayRun(member)) {
            earliest = std::min(earliest, member.m_provenAt);
            hasPeer = true;
        }
    }
    return hasPeer ? earliest : latestAny;
}

int rankInZone(const State &state, fleet::TimePoint now)
{
    return static_cast<int>(std::count_if(state.m_members.begin(), state.m_members.end(), [&](const auto &entry) {
        return entry.second.m_zone == state.m_zone && entry.first < state.m_self && isFit(state, entry.second, now);
    }));
}

}

bool isSuspected(const State &state, const Member &member, fleet::TimePoint now)
{
    return member.m_heardAt + state.m_settings.m_suspectAfter < now;
}

bool isFit(const State &state, const Member &member, fleet::TimePoint now)
{
    return member.m_phase == MemberPhase::Live && !member.m_listLeaving && !isSuspected(state, member, now);
}

std::vector<requests::Dispatcher> dispatchers(const State &state)
{
    std::vector<requests::Dispatcher> found;
    requests::Dispatcher self {state.m_self, state.m_takenOverIssuers};
    self.m_issuers.push_back({state.m_self, state.m_incarnation});
    found.push_back(self);
    for (const auto &[id, member] : state.m_members) {
        if (!mayRun(member) || member.m_incarnation.m_value == 0) {
            continue;
        }
        requests::Dispatcher dispatcher {id, member.m_takenOverIssuers};
        dispatcher.m_issuers.push_back({id, member.m_incarnation});
        found.push_back(dispatcher);
    }
    return found;
}

int countFitInstances(const State &state, fleet::TimePoint now)
{
    return 1 + static_cast<int>(std::count_if(state.m_members.begin(), state.m_members.end(), [&](const auto &entry) {
               return isFit(state, entry.second, now);
           }));
}

duty::PeersChanged dutyView(const State &state, const records::Holder &holder, fleet::TimePoint now)
{
    duty::PeersChanged view;
    view.m_holderUnfit = isHolderUnfit(state, holder, now);
    view.m_rank = rankInZone(state, now);
    view.m_allPeersHeardAt = zonePeersHeardAt(state, now);
    view.m_highestToken = state.m_token;
    for (const auto &[id, member] : state.m_members) {
        if (member.m_zone == state.m_zone) {
            view.m_highestToken = std::max(view.m_highestToken, member.m_token);
        }
    }
    return view;
}

fleet::TimePoint otherZonesHeardAt(const State &state, fleet::TimePoint now)
{
    std::map<fleet::ZoneId, fleet::TimePoint> zones;
    for (const auto &[id, member] : state.m_members) {
        if (member.m_zone != state.m_zone && !member.m_zone.empty() && mayRun(member)) {
            fleet::TimePoint &heardAt = zones[member.m_zone];
            heardAt = std::max(heardAt, member.m_provenAt);
        }
    }
    fleet::TimePoint earliest = now;
    for (const auto &[zone, heardAt] : zones) {
        earliest = std::min(earliest, heardAt);
    }
    return earliest;
}

bool isBehind(const State &state)
{
    return std::any_of(state.m_members.begin(), state.m_members.end(), [&](const auto &entry) {
        return entry.second.m_configuration > state.m_configuration;
    });
}

std::vector<fleet::InstanceId> unconfirmedInstances(const State &state, const TakeOut &takeOut)
{
    std::vector<fleet::InstanceId> missing;
    for (const auto &[id, member] : state.m_members) {
        const bool hasConfirmed = std::find(member.m_takeOuts.begin(), member.m_takeOuts.end(), takeOut.m_id) != member.m_takeOuts.end();
        if (member.m_zone == takeOut.m_zone && mayRun(member) && !hasConfirmed) {
            missing.push_back(id);
        }
    }
    return missing;
}

bool isConfirmed(const State &state, const configuration::ChangeId &takeOut)
{
    if (state.m_appliedChanges.contains(takeOut)) {
        return true;
    }
    const auto known = state.m_takeOuts.find(takeOut);
    if (known == state.m_takeOuts.end()) {
        return false;
    }
    const bool isOwnZone = known->second.m_zone == state.m_zone;
    const bool hasInstance = std::any_of(state.m_members.begin(), state.m_members.end(), [&](const auto &entry) {
        return entry.second.m_zone == known->second.m_zone && mayRun(entry.second);
    });
    return (isOwnZone || hasInstance) && unconfirmedInstances(state, known->second).empty();
}

std::vector<fleet::ZoneId> provisionallyOut(const State &state)
{
    std::vector<fleet::ZoneId> zones;
    for (const auto &[id, takeOut] : state.m_takeOuts) {
        zones.push_back(takeOut.m_zone);
    }
    return zones;
}

Rank rankAmongFit(const State &state, fleet::TimePoint now)
{
    Rank rank;
    for (const auto &[id, member] : state.m_members) {
        if (isFit(state, member, now)) {
            ++rank.m_count;
            rank.m_place += id < state.m_self ? 1 : 0;
        }
    }
    return rank;
}

fleet::InstanceId chooseSuccessor(const State &state, fleet::TimePoint now)
{
    fleet::InstanceId successor;
    bool successorIsNear = false;
    for (const auto &[id, member] : state.m_members) {
        const bool isNear = member.m_zone == state.m_zone;
        if (isFit(state, member, now) && member.m_incarnation.m_value != 0 && (successor.empty() || (isNear && !successorIsNear))) {
            successor = id;
            successorIsNear = isNear;
        }
    }
    return successor;
}

}
