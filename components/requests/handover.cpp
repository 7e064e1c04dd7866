#include "components/requests/queues.hpp"
#include "components/requests/state.hpp"
#include "components/requests/step.hpp"
#include "components/requests/table.hpp"

namespace requests
{

namespace
{

void addFinishedRequest(State &state, const FinishedRequest &finished, fleet::TimePoint now)
{
    if (state.m_entries.contains(finished.m_id)) {
        return;
    }
    Entry entry;
    entry.m_request.m_id = finished.m_id;
    entry.m_idParts = {finished.m_instance, finished.m_incarnation, finished.m_counter};
    entry.m_phase = finished.m_answer.m_kind == AnswerKind::Done ? Phase::Answered
        : finished.m_answer.m_kind == AnswerKind::DidNotRun      ? Phase::Refused
                                                                 : Phase::OutcomeUnknown;
    entry.m_answer = finished.m_answer;
    entry.m_digest = finished.m_digest;
    state.m_storedBytes += storedBytes(entry);
    state.m_entries.emplace(finished.m_id, std::move(entry));
    state.m_expiries.push_back({now + state.m_settings.m_retention, finished.m_id});
}

}

bool acceptHandover(State &state, const Handover &handover, fleet::TimePoint now)
{
    if (state.m_stopping || state.m_handedOver) {
        return false;
    }
    for (const FinishedRequest &finished : handover.m_finished) {
        addFinishedRequest(state, finished, now);
    }
    for (const IdRange &range : handover.m_ranges) {
        if (!ownsRange(state, {range.m_instance, range.m_incarnation, 0})) {
            state.m_ranges.push_back(range);
        }
    }
    return true;
}

Handover handOver(State &state, std::vector<Action> &actions, fleet::TimePoint now)
{
    state.m_stopping = true;
    state.m_handedOver = true;
    Handover handover;
    handover.m_ranges = state.m_ranges;
    for (auto &[id, entry] : state.m_entries) {
        if (!entry.isFinished()) {
            removeFromQueue(state, entry);
            giveUp(state, entry, "the instance stopped", actions, now);
        }
        const RequestIdParts &idParts = entry.m_idParts;
        handover.m_finished.push_back({id, idParts.m_instance, idParts.m_incarnation, idParts.m_counter, entry.m_digest, entry.m_answer});
    }
    return handover;
}

}
