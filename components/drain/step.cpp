#include "components/drain/step.hpp"

#include "components/drain/state.hpp"

namespace drain
{

namespace
{

void enter(State &state, Phase phase, fleet::TimePoint now)
{
    state.m_phase = phase;
    state.m_phaseStartedAt = now;
}

void end(State &state, bool clean, std::vector<Action> &actions, fleet::TimePoint now)
{
    enter(state, Phase::Ended, now);
    actions.emplace_back(Exit {clean});
}

/// True once the time for finishing requests is over and only the handover and the last records remain.
bool isFinishingOver(const State &state, fleet::TimePoint now)
{
    return state.m_stopRequestedAt + state.m_settings.m_limit - state.m_settings.m_handoverReserve <= now;
}

void sendHandover(State &state, std::vector<Action> &actions, fleet::TimePoint now)
{
    state.m_handoverSentAt = now;
    actions.emplace_back(SendHandover {state.m_successor});
}

void beginHandover(State &state, std::vector<Action> &actions, fleet::TimePoint now)
{
    state.m_successor = state.m_progress.m_successor;
    if (state.m_successor.empty()) {
        // Without a successor the request ids are lost with the process, and their callers get an unknown outcome.
        enter(state, Phase::Flushing, now);
        return;
    }
    enter(state, Phase::HandingOver, now);
    sendHandover(state, actions, now);
}

/// Advances through all phases whose conditions are met.
void advance(State &state, std::vector<Action> &actions, fleet::TimePoint now)
{
    if (state.m_phase == Phase::Leaving && state.m_phaseStartedAt + state.m_settings.m_balancerGrace <= now) {
        enter(state, Phase::Finishing, now);
        actions.emplace_back(StopListening {});
    }
    if (state.m_phase == Phase::Finishing && (state.m_progress.m_requestsIdle || isFinishingOver(state, now))) {
        state.m_clean = state.m_progress.m_requestsIdle;
        beginHandover(state, actions, now);
    }
    if (state.m_phase == Phase::HandingOver && state.m_handoverSentAt + state.m_settings.m_handoverRetry <= now) {
        sendHandover(state, actions, now);
    }
    if (state.m_phase == Phase::Flushing && state.m_progress.m_recordsFlushed) {
        enter(state, Phase::NotifyingEnd, now);
        actions.emplace_back(NotifyProcessEnding {});
    }
    if (state.m_phase == Phase::NotifyingEnd && state.m_phaseStartedAt + state.m_settings.m_endNoticePeriod <= now) {
        end(state, state.m_clean, actions, now);
    }
    const bool isStopping = state.m_phase != Phase::Serving && state.m_phase != Phase::Ended;
    if (isStopping && state.m_stopRequestedAt + state.m_settings.m_limit <= now) {
        end(state, false, actions, now);
    }
}

void apply(State &state, const StopSignal &, std::vector<Action> &actions, fleet::TimePoint now)
{
    if (state.m_phase == Phase::Serving) {
        state.m_stopRequestedAt = now;
        enter(state, Phase::Leaving, now);
        actions.emplace_back(BeginLeaving {});
    } else if (state.m_phase != Phase::Ended) {
        end(state, false, actions, now);
    }
}

void apply(State &state, const Progress &event, std::vector<Action> &, fleet::TimePoint)
{
    state.m_progress = event;
}

void apply(State &state, const HandoverAnswered &event, std::vector<Action> &actions, fleet::TimePoint now)
{
    if (state.m_phase != Phase::HandingOver || event.m_successor != state.m_successor) {
        return;
    }
    if (event.m_isAccepted) {
        enter(state, Phase::Flushing, now);
    } else if (state.m_progress.m_successor != state.m_successor) {
        beginHandover(state, actions, now);
    }
}

void apply(State &, const Tick &, std::vector<Action> &, fleet::TimePoint)
{
}

}

std::vector<Action> step(State &state, const Event &event, fleet::TimePoint now)
{
    std::vector<Action> actions;
    std::visit(
        [&](const auto &value) {
            apply(state, value, actions, now);
        },
        event);
    advance(state, actions, now);
    return actions;
}

}
