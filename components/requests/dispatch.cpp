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

/// Weight of one answer in the moving mean of service times, as a divisor.
constexpr int serviceSmoothing = 16;

void send(State &state, Entry &entry, Runner &runner, std::vector<Action> &actions, fleet::TimePoint now)
{
    ++entry.m_attempts;
    entry.m_phase = Phase::Dispatched;
    entry.m_retrying = false;
    ++entry.m_possibleRuns;
    entry.m_flights.push_back({entry.m_attempts, runner.m_id, now});
    ++runner.m_inFlight;
    ++state.m_inFlight;
    const Request &request = entry.m_request;
    const fleet::Duration patience = flightLimit(state.m_settings, request);
    actions.emplace_back(Dispatch {runner.m_id, request.m_id, entry.m_attempts, request.m_account, request.m_kind, request.m_body, now + patience});
    scheduleReview(state, entry);
}

/// A first attempt earns the account and the runner a part of a retry; a retry costs one of each.
void chargeAttempt(State &state, AccountQueue &queue, Runner &runner, bool first)
{
    const double change = first ? state.m_settings.m_retryRatio : -1.0;
    queue.m_retryTokens = std::min(state.m_settings.m_retryBurst, queue.m_retryTokens + change);
    runner.m_retryTokens = std::min(state.m_settings.m_retryBurst, runner.m_retryTokens + change);
}

/// Closes the open attempt that the event names. Empty where there is none: a late, crossed or repeated event.
std::optional<Flight> closeFlight(State &state, Entry &entry, int attempt, const fleet::RunnerId &runner)
{
    const auto found = std::find_if(entry.m_flights.begin(), entry.m_flights.end(), [&](const Flight &flight) {
        return flight.m_attempt == attempt && flight.m_runner == runner;
    });
    if (found == entry.m_flights.end()) {
        return std::nullopt;
    }
    Flight flight = *found;
    entry.m_flights.erase(found);
    --state.m_inFlight;
    const auto known = state.m_runners.find(runner);
    if (known != state.m_runners.end()) {
        --known->second.m_inFlight;
    }
    return flight;
}

void closeAllFlights(State &state, Entry &entry)
{
    while (!entry.m_flights.empty()) {
        const Flight flight = entry.m_flights.back();
        closeFlight(state, entry, flight.m_attempt, flight.m_runner);
    }
}

bool mayRetry(const State &state, const Entry &entry, fleet::TimePoint now)
{
    const auto queue = state.m_queues.find(entry.m_request.m_account);
    return entry.m_attempts < state.m_settings.m_maxAttempts && now < entry.m_request.m_deadline && queue != state.m_queues.end()
        && queue->second.m_retryTokens >= 1.0 && !state.m_handedOver;
}

/// After an attempt ended without an answer: waits for the other attempts, retries, or gives up.
void goOn(State &state, Entry &entry, bool mayAttemptAgain, const std::string &reason, std::vector<Action> &actions, fleet::TimePoint now)
{
    if (!entry.m_flights.empty()) {
        scheduleReview(state, entry);
    } else if (mayAttemptAgain && mayRetry(state, entry, now)) {
        enqueueRetry(state, entry);
        scheduleReview(state, entry);
    } else {
        giveUp(state, entry, reason, actions, now);
    }
}

void noteService(State &state, fleet::Duration took)
{
    state.m_meanService += (took - state.m_meanService) / serviceSmoothing;
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

/// Ends attempts that have lasted too long.
void timeOutFlights(State &state, Entry &entry, std::vector<Action> &actions, fleet::TimePoint now)
{
    const fleet::Duration limit = flightLimit(state.m_settings, entry.m_request);
    const std::vector<Flight> flights = entry.m_flights;
    bool closed = false;
    for (const Flight &flight : flights) {
        if (flight.m_sentAt + limit <= now) {
            closeFlight(state, entry, flight.m_attempt, flight.m_runner);
            const auto runner = state.m_runners.find(flight.m_runner);
            if (runner != state.m_runners.end()) {
                noteFailure(state, runner->second, now);
            }
            closed = true;
        }
    }
    if (closed) {
        goOn(state, entry, entry.m_request.m_idempotent, "no answer in time", actions, now);
    }
}

bool isHedgeDue(const State &state, const Entry &entry, fleet::TimePoint now)
{
    const fleet::Duration after = state.m_settings.m_hedgeAfter;
    return entry.m_request.m_idempotent && !entry.m_hedged && after.count() > 0 && entry.m_flights.size() == 1
        && entry.m_flights.front().m_sentAt + after <= now;
}

void review(State &state, Entry &entry, std::vector<Action> &actions, fleet::TimePoint now)
{
    if (entry.m_phase == Phase::Queued) {
        if (entry.m_request.m_deadline <= now) {
            removeFromQueue(state, entry);
            giveUp(state, entry, "no runner was free before the deadline", actions, now);
        }
        return;
    }
    answerOverdueWaiters(entry, actions, now);
    timeOutFlights(state, entry, actions, now);
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

void takeAnswer(State &state, const RunnerAnswered &event, std::vector<Action> &actions, fleet::TimePoint now)
{
    const auto found = state.m_entries.find(event.m_request);
    const std::optional<Flight> flight = found == state.m_entries.end() ? std::nullopt : closeFlight(state, found->second, event.m_attempt, event.m_runner);
    if (!flight) {
        ++state.m_strayAnswers;
        return;
    }
    Entry &entry = found->second;
    const auto runner = state.m_runners.find(event.m_runner);
    if (!event.m_ran) {
        --entry.m_possibleRuns;
        if (runner != state.m_runners.end()) {
            noteFull(runner->second, now);
        }
        goOn(state, entry, entry.m_request.m_idempotent, "the runner had no free slot", actions, now);
        return;
    }
    if (runner != state.m_runners.end()) {
        noteSuccess(runner->second);
    }
    noteService(state, now - flight->m_sentAt);
    closeAllFlights(state, entry);
    if (entry.m_phase == Phase::Queued) {
        removeFromQueue(state, entry);
    }
    finish(state, entry, Phase::Answered, {AnswerKind::Done, event.m_body, {}}, actions, now);
}

void takeFailure(State &state, const DispatchFailed &event, std::vector<Action> &actions, fleet::TimePoint now)
{
    const auto found = state.m_entries.find(event.m_request);
    if (found == state.m_entries.end() || !closeFlight(state, found->second, event.m_attempt, event.m_runner)) {
        return;
    }
    Entry &entry = found->second;
    const auto runner = state.m_runners.find(event.m_runner);
    if (runner != state.m_runners.end()) {
        noteFailure(state, runner->second, now);
    }
    if (!event.m_bytesLeft) {
        --entry.m_possibleRuns;
    }
    const bool mayAttemptAgain = entry.m_request.m_idempotent || !event.m_bytesLeft;
    goOn(state, entry, mayAttemptAgain, "the runner could not be reached", actions, now);
}

void reviewDue(State &state, std::vector<Action> &actions, fleet::TimePoint now)
{
    while (!state.m_reviews.empty() && state.m_reviews.begin()->m_at <= now) {
        const Review due = *state.m_reviews.begin();
        state.m_reviews.erase(state.m_reviews.begin());
        const auto found = state.m_entries.find(due.m_id);
        if (found != state.m_entries.end() && !found->second.isFinished()) {
            review(state, found->second, actions, now);
            scheduleReview(state, found->second);
        }
    }
}

}
