#include "components/requests/table.hpp"

#include <xxhash.h>

#include <algorithm>

namespace requests
{

namespace
{

/// Memory of one entry besides the bodies of the request and the answer, in bytes.
constexpr std::size_t entryOverhead = 512;

/// Records that the entry was removed, so that a later copy of the request is not treated as new.
void recordForgottenId(State &state, const RequestIdParts &id)
{
    if (IdRange *range = findRange(state, id)) {
        range->m_highestForgotten = std::max(range->m_highestForgotten, id.m_counter);
    }
}

fleet::TimePoint nextTimerAt(const State &state, const Entry &entry)
{
    if (entry.m_phase == Phase::Queued) {
        return entry.m_request.m_deadline;
    }
    fleet::TimePoint next = fleet::TimePoint::max();
    for (const Waiter &waiter : entry.m_waiters) {
        next = std::min(next, waiter.m_deadline);
    }
    for (const OpenAttempt &attempt : entry.m_openAttempts) {
        next = std::min(next, attempt.m_sentAt + attemptTimeout(state.m_settings, entry.m_request));
        if (entry.m_request.m_idempotent && !entry.m_hedged && state.m_settings.m_hedgeAfter.count() > 0) {
            next = std::min(next, attempt.m_sentAt + state.m_settings.m_hedgeAfter);
        }
    }
    return next;
}

}

std::size_t storedBytes(const Entry &entry)
{
    return entryOverhead + entry.m_request.m_body.size() + entry.m_answer.m_body.size();
}

bool isFull(const State &state)
{
    return state.m_entries.size() >= state.m_settings.m_maxEntries || state.m_storedBytes >= state.m_settings.m_maxStoredBytes;
}

fleet::Duration attemptTimeout(const Settings &settings, const Request &request)
{
    return request.m_idempotent ? settings.m_attemptTimeout : settings.m_nonIdempotentAttemptTimeout;
}

void updateTimer(State &state, Entry &entry)
{
    state.m_timers.erase({entry.m_timerAt, entry.m_request.m_id});
    if (!entry.isFinished()) {
        entry.m_timerAt = nextTimerAt(state, entry);
        state.m_timers.insert({entry.m_timerAt, entry.m_request.m_id});
    }
}

bool ownsRange(const State &state, const RequestIdParts &id)
{
    return std::any_of(state.m_ranges.begin(), state.m_ranges.end(), [&](const IdRange &range) {
        return range.m_instance == id.m_instance && range.m_incarnation == id.m_incarnation;
    });
}

IdRange *findRange(State &state, const RequestIdParts &id)
{
    const auto found = std::find_if(state.m_ranges.begin(), state.m_ranges.end(), [&](const IdRange &range) {
        return range.m_instance == id.m_instance && range.m_incarnation == id.m_incarnation;
    });
    return found == state.m_ranges.end() ? nullptr : &*found;
}

std::uint64_t digest(const Request &request)
{
    const std::uint64_t kind = XXH3_64bits(request.m_kind.data(), request.m_kind.size());
    const std::uint64_t account = XXH3_64bits_withSeed(request.m_account.value().data(), request.m_account.value().size(), kind);
    const std::uint64_t seed = account + (request.m_idempotent ? 1 : 0);
    return XXH3_64bits_withSeed(request.m_body.data(), request.m_body.size(), seed);
}

void replyToWaiters(Entry &entry, const Answer &answer, std::vector<Action> &actions)
{
    for (const Waiter &waiter : entry.m_waiters) {
        actions.emplace_back(Reply {waiter.m_id, entry.m_request.m_id, answer});
    }
    entry.m_waiters.clear();
}

void finish(State &state, Entry &entry, Phase phase, const Answer &answer, std::vector<Action> &actions, fleet::TimePoint now)
{
    replyToWaiters(entry, answer, actions);
    state.m_storedBytes -= storedBytes(entry);
    entry.m_phase = phase;
    entry.m_answer = answer;
    entry.m_request.m_body.clear();
    entry.m_request.m_body.shrink_to_fit();
    state.m_storedBytes += storedBytes(entry);
    updateTimer(state, entry);
    state.m_expiries.push_back({now + state.m_settings.m_retention, entry.m_request.m_id});
}

void giveUp(State &state, Entry &entry, const std::string &reason, std::vector<Action> &actions, fleet::TimePoint now)
{
    if (entry.m_possibleRuns > 0) {
        finish(state, entry, Phase::OutcomeUnknown, {AnswerKind::OutcomeUnknown, {}, reason + "; the request may have run"}, actions, now);
    } else {
        finish(state, entry, Phase::Refused, {AnswerKind::DidNotRun, {}, reason + "; ask for a new id and send again"}, actions, now);
    }
}

void forgetExpired(State &state, fleet::TimePoint now)
{
    while (!state.m_expiries.empty() && (state.m_expiries.front().m_at <= now || isFull(state))) {
        const auto found = state.m_entries.find(state.m_expiries.front().m_id);
        if (found != state.m_entries.end()) {
            recordForgottenId(state, found->second.m_idParts);
            state.m_storedBytes -= storedBytes(found->second);
            state.m_entries.erase(found);
        }
        state.m_expiries.pop_front();
    }
}

void answerOverdueWaiters(Entry &entry, std::vector<Action> &actions, fleet::TimePoint now)
{
    std::erase_if(entry.m_waiters, [&](const Waiter &waiter) {
        if (now < waiter.m_deadline) {
            return false;
        }
        const Answer answer {AnswerKind::OutcomeUnknown, {}, "no answer before the deadline; ask again with the same id"};
        actions.emplace_back(Reply {waiter.m_id, entry.m_request.m_id, answer});
        return true;
    });
}

}
