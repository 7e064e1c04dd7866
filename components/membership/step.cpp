#include "components/membership/step.hpp"

#include "components/membership/heartbeat_recipients.hpp"
#include "components/membership/merge.hpp"
#include "components/membership/state.hpp"

#include <algorithm>

namespace membership
{

namespace
{

/// Maximum number of sent heartbeats whose send times are kept, to match echoes.
constexpr std::size_t maxSent = 4096;

constexpr std::size_t maxAppliedChanges = 4096;

fleet::Duration ageOf(fleet::TimePoint time, fleet::TimePoint now)
{
    return std::max(now - time, fleet::Duration {0});
}

std::vector<GossipEntry> chooseGossip(State &state, const fleet::InstanceId &recipient, fleet::TimePoint now)
{
    std::vector<GossipEntry> gossip;
    const std::size_t count = state.m_members.size();
    for (std::size_t i = 0; i < count && gossip.size() < state.m_settings.m_gossipPerHeartbeat; ++i) {
        const auto place = std::next(state.m_members.begin(), static_cast<std::ptrdiff_t>((state.m_gossipCursor + i) % count));
        const Member &member = place->second;
        if (member.m_id == recipient || member.m_incarnation.m_value == 0) {
            continue;
        }
        const MemberPhase phase = member.m_listLeaving ? std::max(member.m_phase, MemberPhase::Leaving) : member.m_phase;
        gossip.push_back({member.m_id, member.m_incarnation, member.m_zone, member.m_address, phase, ageOf(member.m_heardAt, now)});
    }
    return gossip;
}

Heartbeat makeHeartbeat(State &state, const Member &recipient, fleet::TimePoint now)
{
    Heartbeat heartbeat;
    heartbeat.m_from = state.m_self;
    heartbeat.m_incarnation = state.m_incarnation;
    heartbeat.m_sequence = ++state.m_sequence;
    heartbeat.m_echoIncarnation = recipient.m_incarnation;
    heartbeat.m_echo = recipient.m_sequence;
    heartbeat.m_zone = state.m_zone;
    heartbeat.m_address = state.m_address;
    heartbeat.m_phase = state.m_phase;
    heartbeat.m_takenOverIssuers = state.m_takenOverIssuers;
    heartbeat.m_configuration = state.m_configuration;
    heartbeat.m_hasView = state.m_viewFreshAt.has_value();
    heartbeat.m_viewAge = ageOf(state.m_viewFreshAt.value_or(now), now);
    heartbeat.m_token = state.m_token;
    for (const auto &[zone, summary] : state.m_summaries) {
        heartbeat.m_zones.push_back(summary);
    }
    for (const auto &[id, takeOut] : state.m_takeOuts) {
        if (heartbeat.m_takeOuts.size() < state.m_settings.m_takeOutsPerHeartbeat) {
            heartbeat.m_takeOuts.push_back(takeOut);
        }
    }
    heartbeat.m_gossip = chooseGossip(state, recipient.m_id, now);
    return heartbeat;
}

Actions sendHeartbeats(State &state, fleet::TimePoint now)
{
    state.m_sentAt = now;
    Actions actions;
    for (const fleet::InstanceId &id : heartbeatRecipients(state, now)) {
        const Member &recipient = state.m_members.at(id);
        actions.push_back({recipient.m_address, makeHeartbeat(state, recipient, now)});
        state.m_sent.push_back({state.m_sequence, now});
        if (state.m_sent.size() > maxSent) {
            state.m_sent.pop_front();
        }
    }
    state.m_gossipCursor += state.m_settings.m_gossipPerHeartbeat;
    return actions;
}

void forgetMembers(State &state, fleet::TimePoint now)
{
    std::erase_if(state.m_members, [&](const auto &entry) {
        const Member &member = entry.second;
        const fleet::TimePoint last = std::max(member.m_heardAt, member.m_firstSeenAt);
        return !member.m_listed && last + state.m_settings.m_forgetAfter <= now;
    });
}

Actions apply(State &state, const HeartbeatReceived &event, fleet::TimePoint now)
{
    mergeHeartbeat(state, event.m_heartbeat, now);
    return {};
}

Actions apply(State &state, const ListRead &event, fleet::TimePoint now)
{
    mergeList(state, event, now);
    return {};
}

Actions apply(State &state, const LogRead &event, fleet::TimePoint)
{
    state.m_viewFreshAt = std::max(state.m_viewFreshAt.value_or(event.m_requestSentAt), event.m_requestSentAt);
    return {};
}

Actions apply(State &state, const ConfigurationKnown &event, fleet::TimePoint)
{
    state.m_configuration = std::max(state.m_configuration, event.m_version);
    for (const configuration::ChangeId &change : event.m_appliedChanges) {
        state.m_appliedChanges.insert(change);
        state.m_takeOuts.erase(change);
    }
    if (state.m_appliedChanges.size() > maxAppliedChanges) {
        state.m_appliedChanges = {event.m_appliedChanges.begin(), event.m_appliedChanges.end()};
    }
    return {};
}

Actions apply(State &state, const TakeOutRequested &event, fleet::TimePoint now)
{
    if (!state.m_appliedChanges.contains(event.m_takeOut.m_id)) {
        state.m_takeOuts.emplace(event.m_takeOut.m_id, event.m_takeOut);
    }
    return sendHeartbeats(state, now);
}

Actions apply(State &state, const ZoneSummarized &event, fleet::TimePoint)
{
    state.m_summaries[event.m_summary.m_zone] = event.m_summary;
    return {};
}

Actions apply(State &state, const TokenKnown &event, fleet::TimePoint)
{
    state.m_token = std::max(state.m_token, event.m_token);
    return {};
}

Actions apply(State &state, const IdsTakenOver &event, fleet::TimePoint now)
{
    state.m_takenOverIssuers = event.m_issuers;
    return sendHeartbeats(state, now);
}

Actions apply(State &state, const StopRequested &, fleet::TimePoint now)
{
    state.m_phase = std::max(state.m_phase, MemberPhase::Leaving);
    return sendHeartbeats(state, now);
}

Actions apply(State &state, const ProcessEnding &, fleet::TimePoint now)
{
    state.m_phase = MemberPhase::Gone;
    return sendHeartbeats(state, now);
}

Actions apply(State &state, const Tick &, fleet::TimePoint now)
{
    if (now < state.m_sentAt + state.m_settings.m_heartbeatInterval) {
        return {};
    }
    forgetMembers(state, now);
    return sendHeartbeats(state, now);
}

}

State makeState(const Settings &settings, const fleet::InstanceId &self, fleet::Incarnation incarnation, const fleet::ZoneId &zone, const std::string &address)
{
    State state;
    state.m_settings = settings;
    state.m_self = self;
    state.m_incarnation = incarnation;
    state.m_zone = zone;
    state.m_address = address;
    return state;
}

Actions step(State &state, const Event &event, fleet::TimePoint now)
{
    return std::visit(
        [&](const auto &value) {
            return apply(state, value, now);
        },
        event);
}

}
