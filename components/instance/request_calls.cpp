#include "components/instance/request_calls.hpp"

#include "components/instance/answer_counts.hpp"
#include "components/instance/core.hpp"
#include "components/instance/peer_calls.hpp"
#include "components/membership/view.hpp"
#include "components/requests/request_error.hpp"
#include "components/requests/request_id_parts.hpp"
#include "components/requests/routing.hpp"
#include "components/requests/step.hpp"

#include <algorithm>

namespace instance
{

namespace
{

/// How long a runner's answer is awaited after the time at which the request component gives the attempt up.
constexpr fleet::Duration lateAnswerMargin {500};

/// Send count of a submission that is not certain to be the first one of its id.
constexpr int repeatedSendCount = 2;

const api::Refusal invalidIdRefusal {api::ErrorKind::Invalid, "this is not a request id of this site; get one from /v1/request-ids"};

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
    core.m_ports.m_run(runner->second, dispatch, dispatch.m_attemptDeadline - now + lateAnswerMargin);
}

void act(Core &core, const requests::Reply &reply, fleet::TimePoint)
{
    answerWaiter(core, reply.m_waiter, reply.m_request, reply.m_answer);
}

void act(Core &core, const requests::ForwardToSuccessor &send, fleet::TimePoint now)
{
    const auto pending = core.m_peerCalls.m_pendingRequests.find(send.m_waiter);
    if (pending == core.m_peerCalls.m_pendingRequests.end()) {
        return;
    }
    // The successor may have run the request after it arrived on another path, so a failure to forward it here does not prove
    // that it did not run.
    PendingRequest repeated = pending->second;
    repeated.m_sendCount = std::max(repeated.m_sendCount, repeatedSendCount);
    forwardRequest(core, core.m_peerCalls.m_successor, send.m_waiter, repeated, now);
}

void act(Core &, const requests::HandoverReply &, fleet::TimePoint)
{
    // The reply to the handover call carries the result.
}

}

api::Reply toReply(const fleet::RequestId &request, int sendCount, const requests::Answer &answer)
{
    switch (answer.m_kind) {
    case requests::AnswerKind::Done:
        return api::RequestView {request, sendCount, api::RunState::Done, answer.m_body};
    case requests::AnswerKind::DidNotRun:
        return api::Refusal {api::ErrorKind::RequestRefused, answer.m_reason};
    case requests::AnswerKind::OutcomeUnknown:
        break;
    }
    return api::Refusal {api::ErrorKind::OutcomeUnknown, answer.m_reason};
}

void issueRequestIds(Core &core, requests::WaiterId waiter, const api::IssueRequestIds &call)
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
    const auto idParts = requests::parseId(core.m_requestKeys, call.m_submission.m_id);
    if (!idParts) {
        core.m_ports.m_reply(waiter, invalidIdRefusal);
        return;
    }
    const PendingRequest pending {toRequest(call.m_submission, now), call.m_submission.m_attempt};
    core.m_peerCalls.m_pendingRequests[waiter] = pending;
    const requests::Route route = requests::route(*idParts, pending.m_sendCount, core.m_settings.m_instance, membership::dispatchers(core.m_membership));
    if (const auto *forward = std::get_if<requests::ForwardTo>(&route)) {
        forwardRequest(core, forward->m_instance, waiter, pending, now);
    } else if (const auto *answer = std::get_if<requests::Answer>(&route)) {
        answerWaiter(core, waiter, pending.m_request.m_id, *answer);
    } else {
        feedRequests(core, requests::Submitted {pending.m_request, *idParts, pending.m_sendCount, waiter}, now);
    }
}

void showRequest(Core &core, requests::WaiterId waiter, const api::ShowRequest &call, fleet::TimePoint now)
{
    const auto idParts = requests::parseId(core.m_requestKeys, call.m_id);
    if (!idParts) {
        core.m_ports.m_reply(waiter, invalidIdRefusal);
        return;
    }
    // A query must not count as the first submission, because that could make the id unusable.
    const requests::Route route = requests::route(*idParts, repeatedSendCount, core.m_settings.m_instance, membership::dispatchers(core.m_membership));
    if (const auto *forward = std::get_if<requests::ForwardTo>(&route)) {
        forwardQuery(core, forward->m_instance, waiter, call.m_id, now);
    } else if (const auto *answer = std::get_if<requests::Answer>(&route)) {
        core.m_ports.m_reply(waiter, toReply(call.m_id, repeatedSendCount, *answer));
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

void onRunEnded(Core &core, const RunEnded &event, fleet::TimePoint now)
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
    if (core.m_peerCalls.m_peerWaiters.erase(waiter) > 0) {
        core.m_ports.m_replyToPeer(waiter, requests::ForwardedAnswer {request, answer});
        core.m_peerCalls.m_pendingRequests.erase(waiter);
        return;
    }
    const auto pending = core.m_peerCalls.m_pendingRequests.find(waiter);
    if (pending == core.m_peerCalls.m_pendingRequests.end()) {
        return;
    }
    countAnswer(core, pending->second, answer);
    core.m_ports.m_reply(waiter, toReply(request, pending->second.m_sendCount, answer));
    core.m_peerCalls.m_pendingRequests.erase(pending);
}

}
