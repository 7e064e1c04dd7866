#include "components/requests/submit.hpp"

#include "components/requests/queues.hpp"
#include "components/requests/runner_choice.hpp"
#include "components/requests/state.hpp"
#include "components/requests/table.hpp"

#include <algorithm>

namespace requests
{

namespace
{

/// Answer for an id that is not in the table but may have been there. Also given when the caller sends the id for the
/// first time: an earlier copy of the same message may have run and been removed.
const Answer unknownIdAnswer {AnswerKind::OutcomeUnknown, {}, "this id is no longer known; find out by other means whether the request ran"};

void reply(const Submitted &event, const Answer &answer, std::vector<Action> &actions)
{
    actions.emplace_back(Reply {event.m_waiter, event.m_request.m_id, answer});
}

Answer refusal(const std::string &reason)
{
    return {AnswerKind::DidNotRun, {}, reason};
}

/// Handles a request whose id is in the table: sends the stored answer or adds the connection to the waiters.
void submitKnown(State &state, Entry &entry, const Submitted &event, std::vector<Action> &actions)
{
    if (entry.m_digest != digest(event.m_request)) {
        reply(event, refusal("this id belongs to another request; ask for a new id"), actions);
        return;
    }
    if (entry.isFinished()) {
        reply(event, entry.m_answer, actions);
        return;
    }
    entry.m_waiters.push_back({event.m_waiter, event.m_request.m_deadline});
    entry.m_request.m_deadline = std::max(entry.m_request.m_deadline, event.m_request.m_deadline);
    updateTimer(state, entry);
}

/// Returns why the request cannot be accepted or cannot be answered by its deadline; empty if it can.
std::string findRefusal(const State &state, const Submitted &event, fleet::TimePoint now)
{
    const auto queue = state.m_queues.find(event.m_request.m_account);
    if (queue == state.m_queues.end()) {
        return "there is no account " + event.m_request.m_account.value() + "; ask the operators to create it";
    }
    if (queue->second.size() >= state.m_settings.m_maxQueuedPerAccount) {
        return "too many requests of the account are queued; send fewer at once";
    }
    if (now + expectedWait(state, queue->second, event.m_request.m_urgency) + state.m_meanServiceTime > event.m_request.m_deadline) {
        return "the deadline cannot be met; allow more time or send fewer at once";
    }
    return {};
}

Entry &insertEntry(State &state, const Submitted &event)
{
    Entry entry;
    entry.m_request = event.m_request;
    entry.m_idParts = event.m_idParts;
    entry.m_digest = digest(event.m_request);
    entry.m_waiters.push_back({event.m_waiter, event.m_request.m_deadline});
    Entry &stored = state.m_entries.emplace(event.m_request.m_id, std::move(entry)).first->second;
    state.m_storedBytes += storedBytes(stored);
    return stored;
}

void submitNew(State &state, const Submitted &event, std::vector<Action> &actions, fleet::TimePoint now)
{
    const std::string refused = findRefusal(state, event, now);
    Entry &entry = insertEntry(state, event);
    if (!refused.empty()) {
        // The refused request stays in the table, so that a delayed copy of the same message does not run after the refusal.
        giveUp(state, entry, refused, actions, now);
        return;
    }
    updateTimer(state, entry);
    enqueue(state, entry, now);
}

}

void submit(State &state, const Submitted &event, std::vector<Action> &actions, fleet::TimePoint now)
{
    IdRange *range = findRange(state, event.m_idParts);
    if (!range) {
        reply(event, unknownIdAnswer, actions);
        return;
    }
    const auto known = state.m_entries.find(event.m_request.m_id);
    if (known != state.m_entries.end()) {
        submitKnown(state, known->second, event, actions);
    } else if (event.m_idParts.m_counter <= range->m_highestForgotten) {
        reply(event, unknownIdAnswer, actions);
    } else if (state.m_handedOver) {
        actions.emplace_back(ForwardToSuccessor {event.m_waiter, event.m_request.m_id});
    } else if (event.m_idParts.m_counter > range->m_highestIssued) {
        reply(event, refusal("this id was never issued; ask for a new id"), actions);
    } else if (isFull(state)) {
        range->m_highestForgotten = event.m_idParts.m_counter;
        reply(event, refusal("the table of requests is full; ask another instance for a new id"), actions);
    } else {
        submitNew(state, event, actions, now);
    }
}

}
