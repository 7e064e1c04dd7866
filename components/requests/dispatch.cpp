#include "components/requests/dispatch.hpp"

#include "components/requests/queues.hpp"
#include "components/requests/runner_choice.hpp"
#include "components/requests/state.hpp"
#include "components/requests/table.hpp"

#include <algorithm>
#include <optional>

namespace requests
{

namespace
{

/// Each answer's service time enters the moving average with the weight 1 / serviceTimeSmoothing.
constexpr int serviceTimeSmoothing = 16;

void send(State &state, Entry &entry, Runner &runner, std::vector<Action> &actions, fleet::TimePoint now)
{
    ++entry.m_attempts;
    entry.m_phase = Phase::Dispatched;
    entry.m_retrying = false;
    ++entry.m_possibleRuns;
    entry.m_openAttempts.push_back({entry.m_attempts, runner.m_id, now});
    ++runner.m_inFlight;
    ++state.m_inFlight;
    const Request &request = entry.m_request;
    const fleet::Duration timeout = attemptTimeout(state.m_settings, request);
    actions.emplace_back(Dispatch {runner.m_id, request.m_id, entry.m_attempts, request.m_account, request.m_kind, request.m_body, now + timeout});
    updateTimer(state, entry);
}

/// Updates the retry budgets of the account and the runner: a first attempt adds Settings::m_retryRatio to both, a
/// retry takes one from both.
void chargeAttempt(State &state, AccountQueue &queue, Runner &runner, bool first)
{
    const double change = first ? state.m_settings.m_retryRatio : -1.0;
    queue.m_retryTokens = std::min(state.m_settings.m_retryBurst, queue.m_retryTokens + change);
    runner.m_retryTokens = std::min(state.m_settings.m_retryBurst, runner.m_retryTokens + change);
}

/// Removes and returns the given open attempt. Empty if there is none, because the event came late, was repeated or
/// belongs to another attempt.
std::optional<OpenAttempt> closeAttempt(State &state, Entry &entry, int attempt, const fleet::RunnerId &runner)
{
    const auto found = std::find_if(entry.m_openAttempts.begin(), entry.m_openAttempts.end(), [&](const OpenAttempt &candidate) {
        return candidate.m_attempt == attempt && candidate.m_runner == runner;
    });
    if (found == entry.m_openAttempts.end()) {
        return std::nullopt;
    }
    OpenAttempt closed = *found;
    entry.m_openAttempts.erase(found);
    --state.m_inFlight;
    const auto known = state.m_runners.find(runner);
    if (known != state.m_runners.end()) {
        --known->second.m_inFlight;
    }
    return closed;
}

void closeAllAttempts(State &state, Entry &entry)
{
    while (!entry.m_openAttempts.empty()) {
        const OpenAttempt attempt = entry.m_openAttempts.back();
        closeAttempt(state, entry, attempt.m_attempt, attempt.m_runner);
    }
}

bool mayRetry(const State &state, const Entry &entry, fleet::TimePoint now)
{
    const auto queue = state.m_queues.find(entry.m_request.m_account);
    return entry.m_attempts < state.m_settings.m_maxAttempts && now < entry.m_request.m_deadline && queue != state.m_queues.end()
        && queue->second.m_retryTokens >= 1.0 && !state.m_handedOver;
}

/// Handles an attempt that ended without an answer: waits for the other open attempts, retries, or gives up.
void retryOrGiveUp(State &state, Entry &entry, bool mayAttemptAgain, const std::string &reason, std::vector<Action> &actions, fleet::TimePoint now)
{
    if (!entry.m_openAttempts.empty()) {
        updateTimer(state, entry);
    } else if (mayAttemptAgain && mayRetry(state, entry, now)) {
        enqueueRetry(state, entry);
        updateTimer(state, entry);
    } else {
        giveUp(state, entry, reason, actions, now);
    }
}

void updateMeanServiceTime(State &state, fleet::Duration took)
{
    state.m_meanServiceTime += (took - state.m_meanServiceTime) / serviceTimeSmoothing;
}

void hedge(State &state, Entry &entry, std::vector<Action> &actions, fleet::TimePoint now)
{
    entry.m_hedged = true;
    Runner *runner = mayRetry(state, entry, now) ? chooseRunner(state, entry, now) : nullptr;
    if (runner) {
        chargeAttempt(state, state.m_queues[entry.m_request.m_account], *runner, false);
        send(state, entry, *runner, actions, now);
    }
}

/// Closes attempts that have reached their timeout.
void timeOutAttempts(State &state, Entry &entry, std::vector<Action> &actions, fleet::TimePoint now)
{
    const fleet::Duration limit = attemptTimeout(state.m_settings, entry.m_request);
    const std::vector<OpenAttempt> attempts = entry.m_openAttempts;
    bool closed = false;
    for (const OpenAttempt &attempt : attempts) {
        if (attempt.m_sentAt + limit <= now) {
            closeAttempt(state, entry, attempt.m_attempt, attempt.m_runner);
            const auto runner = state.m_runners.find(attempt.m_runner);
            if (runner != state.m_runners.end()) {
                recordFailure(state, runner->second, now);
            }
            closed = true;
        }
    }
    if (closed) {
        retryOrGiveUp(state, entry, entry.m_request.m_idempotent, "no answer in time", actions, now);
    }
}

bool isHedgeDue(const State &state, const Entry &entry, fleet::TimePoint now)
{
    const fleet::Duration after = state.m_settings.m_hedgeAfter;
    return entry.m_request.m_idempotent && !entry.m_hedged && after.count() > 0 && entry.m_openAttempts.size() == 1
        && entry.m_openAttempts.front().m_sentAt + after <= now;
}

void onTimer(State &state, Entry &entry, std::vector<Action> &actions, fleet::TimePoint now)
{
    if (entry.m_phase == Phase::Queued) {
        if (entry.m_request.m_deadline <= now) {
            removeFromQueue(state, entry);
            giveUp(state, entry, "no runner was free before the deadline", actions, now);
        }
        return;
    }
    answerOverdueWaiters(entry, actions, now);
    timeOutAttempts(state, entry, actions, now);
    if (!entry.isFinished() && isHedgeDue(state, entry, now)) {
        hedge(state, entry, actions, now);
    }
}

}

void dispatchQueued(State &state, std::vector<Action> &actions, fleet::TimePoint now)
{
    while (!state.m_handedOver) {
        AccountQueue *queue = nextQueue(state);
        if (!queue) {
            return;
        }
        const fleet::RequestId &head = queue->m_urgent.empty() ? queue->m_normal.front() : queue->m_urgent.front();
        Entry &entry = state.m_entries.at(head);
        Runner *runner = chooseRunner(state, entry, now);
        if (!runner && (!entry.m_retrying || !isAnyRunnerFree(state, now))) {
            return;
        }
        popHead(state, *queue);
        if (!runner) {
            giveUp(state, entry, "no runner may take a retry", actions, now);
            continue;
        }
        chargeAttempt(state, *queue, *runner, !entry.m_retrying);
        send(state, entry, *runner, actions, now);
    }
}

void onRunnerAnswered(State &state, const RunnerAnswered &event, std::vector<Action> &actions, fleet::TimePoint now)
{
    const auto found = state.m_entries.find(event.m_request);
    const std::optional<OpenAttempt> attempt
        = found == state.m_entries.end() ? std::nullopt : closeAttempt(state, found->second, event.m_attempt, event.m_runner);
    if (!attempt) {
        ++state.m_strayAnswers;
        return;
    }
    Entry &entry = found->second;
    const auto runner = state.m_runners.find(event.m_runner);
    if (!event.m_ran) {
        --entry.m_possibleRuns;
        if (runner != state.m_runners.end()) {
            recordNoFreeSlot(runner->second, now);
        }
        retryOrGiveUp(state, entry, entry.m_request.m_idempotent, "the runner had no free slot", actions, now);
        return;
    }
    if (runner != state.m_runners.end()) {
        recordSuccess(runner->second);
    }
    updateMeanServiceTime(state, now - attempt->m_sentAt);
    closeAllAttempts(state, entry);
    if (entry.m_phase == Phase::Queued) {
        removeFromQueue(state, entry);
    }
    finish(state, entry, Phase::Answered, {AnswerKind::Done, event.m_body, {}}, actions, now);
}

void onDispatchFailed(State &state, const DispatchFailed &event, std::vector<Action> &actions, fleet::TimePoint now)
{
    const auto found = state.m_entries.find(event.m_request);
    if (found == state.m_entries.end() || !closeAttempt(state, found->second, event.m_attempt, event.m_runner)) {
        return;
    }
    Entry &entry = found->second;
    const auto runner = state.m_runners.find(event.m_runner);
    if (runner != state.m_runners.end()) {
        recordFailure(state, runner->second, now);
    }
    if (!event.m_mayHaveBeenSent) {
        --entry.m_possibleRuns;
    }
    const bool mayAttemptAgain = entry.m_request.m_idempotent || !event.m_mayHaveBeenSent;
    retryOrGiveUp(state, entry, mayAttemptAgain, "the runner could not be reached", actions, now);
}

void runDueTimers(State &state, std::vector<Action> &actions, fleet::TimePoint now)
{
    while (!state.m_timers.empty() && state.m_timers.begin()->m_at <= now) {
        const RequestTimer due = *state.m_timers.begin();
        state.m_timers.erase(state.m_timers.begin());
        const auto found = state.m_entries.find(due.m_id);
        if (found != state.m_entries.end() && !found->second.isFinished()) {
            onTimer(state, found->second, actions, now);
            updateTimer(state, found->second);
        }
    }
}

}
