#include "components/requests/step.hpp"

#include "components/requests/dispatch.hpp"
#include "components/requests/queues.hpp"
#include "components/requests/request_error.hpp"
#include "components/requests/state.hpp"
#include "components/requests/submit.hpp"
#include "components/requests/table.hpp"

#include <algorithm>

namespace requests
{

namespace
{

void apply(State &state, const Submitted &event, std::vector<Action> &actions, fleet::TimePoint now)
{
    submit(state, event, actions, now);
}

void apply(State &state, const WaiterDisconnected &event, std::vector<Action> &, fleet::TimePoint)
{
    const auto found = state.m_entries.find(event.m_request);
    if (found == state.m_entries.end()) {
        return;
    }
    std::erase_if(found->second.m_waiters, [&](const Waiter &waiter) {
        return waiter.m_id == event.m_waiter;
    });
}

void apply(State &state, const RunnerListed &event, std::vector<Action> &, fleet::TimePoint)
{
    const bool isNew = !state.m_runners.contains(event.m_runner);
    Runner &runner = state.m_runners[event.m_runner];
    runner.m_id = event.m_runner;
    runner.m_zone = event.m_zone;
    runner.m_slots = event.m_slots;
    runner.m_connections = event.m_connections;
    runner.m_leaving = runner.m_leaving || event.m_leaving;
    runner.m_removed = false;
    if (isNew) {
        runner.m_retryTokens = state.m_settings.m_retryBurst;
    }
}

void apply(State &state, const RunnerRemoved &event, std::vector<Action> &, fleet::TimePoint)
{
    const auto found = state.m_runners.find(event.m_runner);
    if (found != state.m_runners.end()) {
        found->second.m_removed = true;
    }
}

void apply(State &state, const RunnerLoadReported &event, std::vector<Action> &, fleet::TimePoint now)
{
    const auto found = state.m_runners.find(event.m_runner);
    if (found == state.m_runners.end()) {
        return;
    }
    found->second.m_slotsUsedByOthers = std::max(0, event.m_slotsUsed - found->second.m_inFlight);
    found->second.m_reportedAt = now;
}

void apply(State &state, const RunnerAnswered &event, std::vector<Action> &actions, fleet::TimePoint now)
{
    onRunnerAnswered(state, event, actions, now);
}

void apply(State &state, const DispatchFailed &event, std::vector<Action> &actions, fleet::TimePoint now)
{
    onDispatchFailed(state, event, actions, now);
}

void apply(State &state, const AccountsChanged &event, std::vector<Action> &, fleet::TimePoint now)
{
    changeAccounts(state, event, now);
}

void apply(State &state, const InstanceCountChanged &event, std::vector<Action> &, fleet::TimePoint)
{
    state.m_instanceCount = std::max(1, event.m_instances);
}

void apply(State &state, const ZonesClosed &event, std::vector<Action> &, fleet::TimePoint)
{
    state.m_closedZones = event.m_zones;
}

void apply(State &state, const HandoverReceived &event, std::vector<Action> &actions, fleet::TimePoint now)
{
    if (event.m_handover.m_ranges.empty()) {
        return;
    }
    const IdRange &own = event.m_handover.m_ranges.front();
    actions.emplace_back(HandoverReply {own.m_instance, own.m_incarnation, acceptHandover(state, event.m_handover, now)});
}

void apply(State &state, const StopRequested &, std::vector<Action> &, fleet::TimePoint)
{
    state.m_stopping = true;
}

void apply(State &state, const Tick &, std::vector<Action> &, fleet::TimePoint now)
{
    forgetExpired(state, now);
}

}

State makeState(const Settings &settings, const fleet::InstanceId &instance, fleet::Incarnation incarnation, const fleet::ZoneId &zone)
{
    State state;
    state.m_settings = settings;
    state.m_zone = zone;
    state.m_ranges.push_back({instance, incarnation, 0, 0});
    return state;
}

RequestIdParts issueId(State &state)
{
    if (state.m_stopping || state.m_handedOver) {
        throw RequestError("this instance is stopping and issues no ids; ask another instance");
    }
    IdRange &own = state.m_ranges.front();
    ++own.m_highestIssued;
    return {own.m_instance, own.m_incarnation, own.m_highestIssued};
}

std::vector<Action> step(State &state, const Event &event, fleet::TimePoint now)
{
    std::vector<Action> actions;
    runDueTimers(state, actions, now);
    std::visit(
        [&](const auto &value) {
            apply(state, value, actions, now);
        },
        event);
    dispatchQueued(state, actions, now);
    return actions;
}

bool isIdle(const State &state)
{
    return state.m_queued == 0 && state.m_inFlight == 0;
}

}
