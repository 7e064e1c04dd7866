#include "components/membership/merge.hpp"

#include "components/membership/state.hpp"

#include <algorithm>

namespace membership
{

namespace
{

/// Maximum number of members. More than this indicates an error elsewhere.
constexpr std::size_t maxMembers = 256;

/// Maximum number of provisional take-outs.
constexpr std::size_t maxTakeOuts = 64;

/// Returns the member and adds it if necessary. Null if the table is full or the id is this instance's own.
Member *findOrAddMember(State &state, const fleet::InstanceId &id, fleet::TimePoint now)
{
    const auto found = state.m_members.find(id);
    if (found != state.m_members.end()) {
        return &found->second;
    }
    if (id == state.m_self || state.m_members.size() >= maxMembers) {
        return nullptr;
    }
    Member &member = state.m_members[id];
    member.m_id = id;
    member.m_firstSeenAt = now;
    return &member;
}

/// Resets the member for a later incarnation. It is a new process, so the state of the earlier one does not apply to it.
void beginIncarnation(Member &member, fleet::Incarnation incarnation, fleet::TimePoint now)
{
    if (member.m_incarnation.m_value != 0) {
        member.m_phase = MemberPhase::Live;
        member.m_listLeaving = false;
    }
    member.m_incarnation = incarnation;
    member.m_sequence = 0;
    member.m_takenOverIssuers.clear();
    member.m_takeOuts.clear();
    member.m_firstSeenAt = now;
}

void mergeGossip(State &state, const GossipEntry &entry, fleet::TimePoint now)
{
    Member *member = findOrAddMember(state, entry.m_instance, now);
    if (!member || entry.m_incarnation < member->m_incarnation || entry.m_phase > MemberPhase::Gone) {
        return;
    }
    if (entry.m_incarnation > member->m_incarnation) {
        beginIncarnation(*member, entry.m_incarnation, now);
    }
    member->m_phase = std::max(member->m_phase, entry.m_phase);
    member->m_heardAt = std::max(member->m_heardAt, now - std::max(entry.m_age, fleet::Duration {0}));
    if (member->m_address.empty()) {
        member->m_address = entry.m_address;
        member->m_zone = entry.m_zone;
    }
}

/// Returns when this instance sent the heartbeat that the other one echoes; absent if that heartbeat is no longer recorded.
std::optional<fleet::TimePoint> sentTime(const State &state, const Heartbeat &heartbeat)
{
    if (heartbeat.m_echoIncarnation != state.m_incarnation) {
        return std::nullopt;
    }
    const auto found = std::lower_bound(state.m_sent.begin(), state.m_sent.end(), heartbeat.m_echo, [](const SentHeartbeat &sent, std::uint64_t sequence) {
        return sent.m_sequence < sequence;
    });
    if (found == state.m_sent.end() || found->m_sequence != heartbeat.m_echo) {
        return std::nullopt;
    }
    return found->m_at;
}

/// Merges the fields that are only valid in a message whose send time is proven by an echo.
void mergeProven(State &state, Member &member, const Heartbeat &heartbeat, fleet::TimePoint provenAt)
{
    member.m_provenAt = std::max(member.m_provenAt, provenAt);
    if (heartbeat.m_hasView && heartbeat.m_viewAge.count() >= 0 && heartbeat.m_configuration <= state.m_configuration) {
        const fleet::TimePoint freshAt = provenAt - heartbeat.m_viewAge;
        state.m_viewFreshAt = std::max(state.m_viewFreshAt.value_or(freshAt), freshAt);
    }
}

void mergeTakeOuts(State &state, Member &member, const std::vector<TakeOut> &takeOuts)
{
    for (const TakeOut &takeOut : takeOuts) {
        if (std::find(member.m_takeOuts.begin(), member.m_takeOuts.end(), takeOut.m_id) == member.m_takeOuts.end()) {
            member.m_takeOuts.push_back(takeOut.m_id);
        }
        if (!state.m_appliedChanges.contains(takeOut.m_id) && state.m_takeOuts.size() < maxTakeOuts) {
            state.m_takeOuts.emplace(takeOut.m_id, takeOut);
        }
    }
}

void mergeSummary(State &state, const ZoneSummary &summary)
{
    ZoneSummary &known = state.m_summaries[summary.m_zone];
    const bool isLater = summary.m_token > known.m_token || (summary.m_token == known.m_token && summary.m_sequence > known.m_sequence);
    if (isLater) {
        known = summary;
    }
}

void mergeSender(Member &member, const Heartbeat &heartbeat, fleet::TimePoint now)
{
    member.m_sequence = heartbeat.m_sequence;
    member.m_zone = heartbeat.m_zone;
    member.m_address = heartbeat.m_address;
    member.m_phase = std::max(member.m_phase, heartbeat.m_phase);
    member.m_heardAt = now;
    member.m_directAt = now;
    member.m_takenOverIssuers = heartbeat.m_takenOverIssuers;
    member.m_configuration = std::max(member.m_configuration, heartbeat.m_configuration);
    member.m_token = std::max(member.m_token, heartbeat.m_token);
}

}

void mergeHeartbeat(State &state, const Heartbeat &heartbeat, fleet::TimePoint now)
{
    Member *member = findOrAddMember(state, heartbeat.m_from, now);
    if (!member || heartbeat.m_incarnation < member->m_incarnation || heartbeat.m_phase > MemberPhase::Gone) {
        return;
    }
    if (heartbeat.m_incarnation > member->m_incarnation) {
        beginIncarnation(*member, heartbeat.m_incarnation, now);
    }
    for (const GossipEntry &entry : heartbeat.m_gossip) {
        mergeGossip(state, entry, now);
    }
    mergeTakeOuts(state, *member, heartbeat.m_takeOuts);
    for (const ZoneSummary &summary : heartbeat.m_zones) {
        mergeSummary(state, summary);
    }
    if (heartbeat.m_sequence > member->m_sequence) {
        mergeSender(*member, heartbeat, now);
    }
    if (const std::optional<fleet::TimePoint> provenAt = sentTime(state, heartbeat)) {
        mergeProven(state, *member, heartbeat, *provenAt);
    }
}

void mergeList(State &state, const ListRead &list, fleet::TimePoint now)
{
    const bool isNewer = !state.m_listAsOf || list.m_asOf > *state.m_listAsOf;
    if (isNewer) {
        state.m_listAsOf = list.m_asOf;
        for (auto &[id, member] : state.m_members) {
            member.m_listed = false;
        }
    }
    for (const ListedInstance &listed : list.m_instances) {
        Member *member = findOrAddMember(state, listed.m_id, now);
        if (!member) {
            continue;
        }
        member->m_listed = member->m_listed || isNewer;
        // A list that is older than the current incarnation can only have marked an earlier one as leaving.
        const bool concernsPresent = member->m_incarnation.m_value == 0 || list.m_asOf >= member->m_firstSeenAt;
        member->m_listLeaving = member->m_listLeaving || (listed.m_leaving && concernsPresent);
        if (member->m_address.empty()) {
            member->m_address = listed.m_address;
            member->m_zone = listed.m_zone;
        }
    }
}

}
