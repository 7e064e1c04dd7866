#include "components/instance/request_calls.hpp"

#include "components/instance/answer_counts.hpp"
#include "components/instance/core.hpp"
#include "components/instance/peer_calls.hpp"
#include "components/membership/view.hpp"
#include "components/requests/minted_id.hpp"
#include "components/requests/request_error.hpp"
#include "components/requests/routing.hpp"
#include "components/requests/step.hpp"

#include <algorithm>

namespace instance
{

namespace
{

/// A runner's answer may arrive this long after the time at which the request slice gives an attempt up.
constexpr fleet::Duration lateAnswer {500};

/// Number of a sending that is not known to be the first of its id.
constexpr int laterSending = 2;

const api::Refusal notAnId {api::ErrorKind::Invalid, "this is not a request id of this site; get one from /v1/request-ids"};

requests::Request toRequest(const api::RequestSubmission &submission, fleet::TimePoint now)
{
    return {
        submission.m_id, submission.m_account, submission.m_kind, submission.m_idempotent, submission.m_urgency, now + submission.m_timeout, submission.m_body};
}

void act(Core &core, const requests::Dispatch &dispatch, fleet::TimePoint now)
{
    const auto runner = core.m_platform.m_runners.find(dispatch.m_runner);
    if (runner == core.m_platform.m_runners.end()) {
        feedRequests(core, requests::DispatchFailed {dispatch.m_request, dispatch.m_attempt, dispatch.m_runner, false}, now);
        return;
    }
    core.m_ports.m_run(runner->second, dispatch, dispatch.m_giveUpAt - now + lateAnswer);
}

void act(Core &core, const requests::Reply &reply, fleet::TimePoint)
{
    answerWaiter(core, reply.m_waiter, reply.m_request, reply.m_answer);
}

void act(Core &core, const requests::SendToHeir &send, fleet::TimePoint now)
{
    const auto sending = core.m_forwards.m_sendings.find(send.m_waiter);
    if (sending == core.m_forwards.m_sendings.end()) {
        return;
    }
    // The heir may have run the id for another way that led there, so a failure on this one proves nothing.
    OpenSending moved = sending->second;
    moved.m_sending = std::max(moved.m_sending, laterSending);
    forwardRequest(core, core.m_forwards.m_heir, send.m_waiter, moved, now);
}

void act(Core &, const requests::HandoverTaken &, fleet::TimePoint)
{
    // The reply to the handover call carries it.
}

}

api::Reply toReply(const fleet::RequestId &request, int sending, const requests::Answer &answer)
{
    switch (answer.m_kind) {
    case requests::AnswerKind::Done:
        return api::RequestView {request, sending, api::RunState::Done, answer.m_body};
    case requests::AnswerKind::DidNotRun:
        return api::Refusal {api::ErrorKind::RequestRefused, answer.m_reason};
    case requests::AnswerKind::OutcomeUnknown:
        break;
    }
    return api::Refusal {api::ErrorKind::OutcomeUnknown, answer.m_reason};
}

void mintRequestIds(Core &core, requests::WaiterId waiter, const api::IssueRequestIds &call)
{
    api::RequestIds ids;
    try {
        for (int count = 0; count < call.m_count; ++count) {
            ids.m_ids.push_back(requests::formatId(core.m_requestKeys, requests::issueId(core.m_requests)));
        }
    } catch (const requests::RequestError &error) {
        core.m_ports.m_reply(waiter, api::Refusal {api::ErrorKind::Draining, error.what()});
        return;
    }
    core.m_ports.m_reply(waiter, ids);
}

void sendRequest(Core &core, requests::WaiterId waiter, const api::SendRequest &call, fleet::TimePoint now)
{
    const auto minted = requests::parseId(core.m_requestKeys, call.m_submission.m_id);
    if (!minted) {
        core.m_ports.m_reply(waiter, notAnId);
        return;
    }
    const OpenSending sending {toRequest(call.m_submission, now), call.m_submission.m_attempt};
    core.m_forwards.m_sendings[waiter] = sending;
    const requests::Route route = requests::route(*minted, sending.m_sending, core.m_settings.m_instance, membership::dispatchers(core.m_membership));
    if (const auto *forward = std::get_if<requests::ForwardTo>(&route)) {
        forwardRequest(core, forward->m_instance, waiter, sending, now);
    } else if (const auto *answer = std::get_if<requests::Answer>(&route)) {
        answerWaiter(core, waiter, sending.m_request.m_id, *answer);
    } else {
        feedRequests(core, requests::Submitted {sending.m_request, *minted, sending.m_sending, waiter}, now);
    }
}

void showRequest(Core &core, requests::WaiterId waiter, const api::ShowRequest &call, fleet::TimePoint now)
{
    const auto minted = requests::parseId(core.m_requestKeys, call.m_id);
    if (!minted) {
        core.m_ports.m_reply(waiter, notAnId);
        return;
    }
    // A question is no first sending: it never makes an id unusable.
    const requests::Route route = requests::route(*minted, laterSending, core.m_settings.m_instance, membership::dispatchers(core.m_membership));
    if (const auto *forward = std::get_if<requests::ForwardTo>(&route)) {
        forwardQuery(core, forward->m_instance, waiter, call.m_id, now);
    } else if (const auto *answer = std::get_if<requests::Answer>(&route)) {
        core.m_ports.m_reply(waiter, toReply(call.m_id, laterSending, *answer));
    } else {
        replyToQuery(core, waiter, call.m_id, answerQuery(core, call.m_id));
    }
}

void feedRequests(Core &core, const requests::Event &event, fleet::TimePoint now)
{
    actOnRequests(core, requests::step(core.m_requests, event, now), now);
}

void actOnRequests(Core &core, const std::vector<requests::Action> &actions, fleet::TimePoint now)
{
    for (const requests::Action &action : actions) {
        std::visit(
            [&](const auto &value) {
                act(core, value, now);
            },
            action);
    }
}

void endRun(Core &core, const RunEnded &event, fleet::TimePoint now)
{
    switch (event.m_result.m_outcome) {
    case platform::RunOutcome::Done:
        feedRequests(core, requests::RunnerAnswered {event.m_request, event.m_attempt, event.m_runner, true, event.m_result.m_body}, now);
        return;
    case platform::RunOutcome::DidNotRun:
        feedRequests(core, requests::DispatchFailed {event.m_request, event.m_attempt, event.m_runner, false}, now);
        return;
    case platform::RunOutcome::Unknown:
        feedRequests(core, requests::DispatchFailed {event.m_request, event.m_attempt, event.m_runner, true}, now);
        return;
    }
}

void answerWaiter(Core &core, requests::WaiterId waiter, const fleet::RequestId &request, const requests::Answer &answer)
{
    if (core.m_forwards.m_peerWaiters.erase(waiter) > 0) {
        core.m_ports.m_replyToPeer(waiter, requests::ForwardedAnswer {request, answer});
        core.m_forwards.m_sendings.erase(waiter);
        return;
    }
    const auto sending = core.m_forwards.m_sendings.find(waiter);
    if (sending == core.m_forwards.m_sendings.end()) {
        return;
    }
    countAnswer(core, sending->second, answer);
    core.m_ports.m_reply(waiter, toReply(request, sending->second.m_sending, answer));
    core.m_forwards.m_sendings.erase(sending);
}

}
