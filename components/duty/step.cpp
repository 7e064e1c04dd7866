#include "components/duty/step.hpp"

#include "components/duty/state.hpp"

#include <algorithm>

namespace duty
{

namespace
{

bool isHolder(const State &state)
{
    return state.m_role == Role::RaisingToken || state.m_role == Role::Holding;
}

bool hasAuthority(const State &state, fleet::TimePoint now)
{
    return now - state.m_contactAt <= state.m_settings.m_holderAuthority;
}

void recordContact(State &state, fleet::TimePoint at)
{
    state.m_contactAt = std::max(state.m_contactAt, at);
}

/// Gives up the duty because another instance has a higher token.
void stepDown(State &state, std::vector<Action> &actions)
{
    if (isHolder(state)) {
        actions.emplace_back(StopScheduling {state.m_token});
    }
    state.m_role = Role::Standby;
}

void beginRaisingToken(State &state, std::vector<Action> &actions, fleet::TimePoint now)
{
    state.m_role = Role::RaisingToken;
    state.m_token = state.m_holder.m_token;
    state.m_claimedAt = now;
    for (auto &[worker, contact] : state.m_workers) {
        contact = {};
    }
    actions.emplace_back(StartScheduling {state.m_token});
}

void raiseTokens(State &state, std::vector<Action> &actions, fleet::TimePoint now)
{
    for (auto &[worker, contact] : state.m_workers) {
        if (!contact.m_answered && contact.m_requestSentAt + state.m_settings.m_raiseInterval <= now) {
            contact.m_requestSentAt = now;
            actions.emplace_back(RaiseToken {worker, state.m_token});
        }
    }
}

bool allAnswered(const State &state)
{
    return state.m_workersKnown && std::all_of(state.m_workers.begin(), state.m_workers.end(), [](const auto &entry) {
               return entry.second.m_answered;
           });
}

/// Returns the time after which the earlier holder's authority and every lease that it granted have expired.
fleet::TimePoint earlierHolderEnd(const State &state)
{
    return state.m_claimedAt + state.m_settings.m_holderAuthority + 2 * state.m_settings.m_lease;
}

bool mayClaim(const State &state)
{
    const bool isVacant = state.m_holder.m_token.m_value == 0 || state.m_holder.m_released || state.m_holderUnfit;
    return !state.m_stopping && state.m_role == Role::Standby && state.m_holderKnown && isVacant;
}

void considerClaim(State &state, std::vector<Action> &actions, fleet::TimePoint now)
{
    if (!mayClaim(state)) {
        state.m_unfitSince.reset();
        return;
    }
    if (!state.m_unfitSince) {
        state.m_unfitSince = now;
    }
    const bool isFree = state.m_holder.m_token.m_value == 0 || state.m_holder.m_released;
    const fleet::Duration delay = isFree ? fleet::Duration {0} : state.m_settings.m_claimDelay;
    if (*state.m_unfitSince + delay + state.m_settings.m_claimDelayPerRank * state.m_rank <= now) {
        state.m_role = Role::Claiming;
        state.m_claimSentAt = now;
        actions.emplace_back(Claim {state.m_holder.m_token});
    }
}

void apply(State &state, const HolderRead &event, std::vector<Action> &actions, fleet::TimePoint now)
{
    if (state.m_holderKnown && event.m_holder.m_token < state.m_holder.m_token) {
        return;
    }
    const bool isNewer = !state.m_holderKnown || event.m_holder.m_token > state.m_holder.m_token;
    state.m_holder = event.m_holder;
    state.m_holderKnown = true;
    const bool isOwn = event.m_holder.m_writer == state.m_self && !event.m_holder.m_released && event.m_holder.m_token.m_value > 0;
    if (!isOwn) {
        if (isNewer) {
            state.m_holderUnfit = false;
            stepDown(state, actions);
        }
        return;
    }
    if (isNewer && state.m_role != Role::Released) {
        beginRaisingToken(state, actions, now);
    }
    recordContact(state, event.m_requestSentAt);
}

void apply(State &state, const PeersChanged &event, std::vector<Action> &actions, fleet::TimePoint)
{
    state.m_holderUnfit = event.m_holderUnfit;
    state.m_rank = event.m_rank;
    if (isHolder(state) && event.m_highestToken > state.m_token) {
        stepDown(state, actions);
        return;
    }
    recordContact(state, event.m_allPeersHeardAt);
}

void apply(State &state, const WorkersListed &event, std::vector<Action> &, fleet::TimePoint)
{
    std::map<fleet::WorkerId, WorkerContact> workers;
    for (const fleet::WorkerId &worker : event.m_workers) {
        const auto known = state.m_workers.find(worker);
        workers[worker] = known == state.m_workers.end() ? WorkerContact() : known->second;
    }
    state.m_workers = std::move(workers);
    state.m_workersKnown = true;
}

void apply(State &state, const WorkerAnswered &event, std::vector<Action> &, fleet::TimePoint)
{
    const auto known = state.m_workers.find(event.m_worker);
    if (isHolder(state) && event.m_token == state.m_token && known != state.m_workers.end()) {
        known->second.m_answered = true;
    }
}

void apply(State &state, const WorkerRefused &event, std::vector<Action> &actions, fleet::TimePoint)
{
    if (isHolder(state) && event.m_highest > state.m_token) {
        stepDown(state, actions);
    }
}

void apply(State &state, const StopRequested &, std::vector<Action> &actions, fleet::TimePoint)
{
    state.m_stopping = true;
    if (isHolder(state)) {
        actions.emplace_back(StopScheduling {state.m_token});
        actions.emplace_back(Release {state.m_token});
        state.m_role = Role::Released;
    }
}

void apply(State &state, const Tick &, std::vector<Action> &, fleet::TimePoint now)
{
    if (state.m_role == Role::Claiming && state.m_claimSentAt + state.m_settings.m_claimTimeout <= now) {
        state.m_role = Role::Standby;
    }
}

}

State makeState(const Settings &settings, const records::WriterId &self, const fleet::ZoneId &zone)
{
    State state;
    state.m_settings = settings;
    state.m_self = self;
    state.m_zone = zone;
    return state;
}

std::vector<Action> step(State &state, const Event &event, fleet::TimePoint now)
{
    std::vector<Action> actions;
    std::visit(
        [&](const auto &value) {
            apply(state, value, actions, now);
        },
        event);
    considerClaim(state, actions, now);
    if (state.m_role == Role::RaisingToken) {
        raiseTokens(state, actions, now);
        if (allAnswered(state) || earlierHolderEnd(state) <= now) {
            state.m_role = Role::Holding;
        }
    }
    return actions;
}

bool mayStart(const State &state, fleet::TimePoint now)
{
    return state.m_role == Role::Holding && hasAuthority(state, now);
}

bool mayRenew(const State &state, fleet::TimePoint now)
{
    return isHolder(state) && hasAuthority(state, now);
}

}
