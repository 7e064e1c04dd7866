#include "components/instance/peer_calls.hpp"

#include "components/instance/core.hpp"
#include "components/instance/peer_view.hpp"
#include "components/instance/request_calls.hpp"
#include "components/instance/state_transfer.hpp"
#include "components/instance/stopping.hpp"
#include "components/requests/request_id_parts.hpp"
#include "components/requests/step.hpp"
#include "components/requests/submit.hpp"

namespace instance
{

namespace
{

/// Added to the caller's remaining time, for the network round trip to the other instance.
constexpr fleet::Duration forwardMargin {500};
constexpr fleet::Duration queryTimeout {2000};

/// Takes over the request ids of an instance that stops, and announces it in heartbeats.
requests::HandoverAnswer handleHandover(Core &core, const requests::Handover &handover, fleet::TimePoint now)
{
    const bool accepted = requests::acceptHandover(core.m_requests, handover, now);
    std::vector<requests::Issuer> takenOverIssuers;
    for (std::size_t index = 1; index < core.m_requests.m_ranges.size(); ++index) {
        const requests::IdRange &range = core.m_requests.m_ranges[index];
        takenOverIssuers.push_back({range.m_instance, range.m_incarnation});
    }
    feedMembership(core, membership::IdsTakenOver {takenOverIssuers}, now);
    return {accepted};
}

void serve(Core &core, requests::WaiterId waiter, const requests::ForwardedRequest &call, fleet::TimePoint now)
{
    const auto idParts = requests::parseId(core.m_requestKeys, call.m_request.m_id);
    if (!idParts) {
        core.m_ports.m_replyToPeer(waiter, UnknownRequest {});
        return;
    }
    core.m_peerCalls.m_peerWaiters.insert(waiter);
    core.m_peerCalls.m_pendingRequests[waiter] = {call.m_request, call.m_sendCount};
    feedRequests(core, requests::Submitted {call.m_request, *idParts, call.m_sendCount, waiter}, now);
}

void serve(Core &core, requests::WaiterId waiter, const RequestQuery &call, fleet::TimePoint)
{
    core.m_ports.m_replyToPeer(waiter, answerQuery(core, call.m_request));
}

void serve(Core &core, requests::WaiterId waiter, const requests::Handover &call, fleet::TimePoint now)
{
    core.m_ports.m_replyToPeer(waiter, handleHandover(core, call, now));
}

void serve(Core &core, requests::WaiterId waiter, const FetchState &, fleet::TimePoint)
{
    core.m_ports.m_replyToPeer(waiter, snapshotState(core));
}

void onForwardedRequestEnded(Core &core, const OpenPeerCall &peerCall, const PeerCallEnded &event)
{
    if (event.m_reply) {
        if (const auto *answered = std::get_if<requests::ForwardedAnswer>(&*event.m_reply)) {
            answerWaiter(core, peerCall.m_waiter, peerCall.m_request, answered->m_answer);
            return;
        }
    }
    const bool mayHaveBeenSent = event.m_kind != http::ResultKind::NotSent;
    answerWaiter(core, peerCall.m_waiter, peerCall.m_request, requests::answerFailedForward(peerCall.m_sendCount, mayHaveBeenSent));
}

}

void callPeer(Core &core, const OpenPeerCall &peerCall, const PeerCall &call, fleet::Duration timeout, fleet::TimePoint now)
{
    const PeerCallId id {++core.m_peerCalls.m_lastCall};
    core.m_peerCalls.m_calls.emplace(id, peerCall);
    const auto address = findAddress(core, peerCall.m_to);
    if (!address) {
        onPeerCallEnded(core, {id, http::ResultKind::NotSent, std::nullopt}, now);
        return;
    }
    core.m_ports.m_callPeer(id, {peerCall.m_to, *address}, call, timeout);
}

void forwardRequest(Core &core, const fleet::InstanceId &to, requests::WaiterId waiter, const PendingRequest &pending, fleet::TimePoint now)
{
    const OpenPeerCall peerCall {PeerCallKind::Request, waiter, pending.m_request.m_id, pending.m_sendCount, to};
    const fleet::Duration timeout = pending.m_request.m_deadline - now + forwardMargin;
    callPeer(core, peerCall, requests::ForwardedRequest {pending.m_request, pending.m_sendCount}, timeout, now);
}

void forwardQuery(Core &core, const fleet::InstanceId &to, requests::WaiterId waiter, const fleet::RequestId &request, fleet::TimePoint now)
{
    callPeer(core, {PeerCallKind::Query, waiter, request, 1, to}, RequestQuery {request}, queryTimeout, now);
}

PeerReply answerQuery(const Core &core, const fleet::RequestId &request)
{
    const auto found = core.m_requests.m_entries.find(request);
    if (found == core.m_requests.m_entries.end()) {
        return UnknownRequest {};
    }
    return found->second.isFinished() ? PeerReply(requests::ForwardedAnswer {request, found->second.m_answer}) : PeerReply(RequestInProgress {});
}

void replyToQuery(Core &core, requests::WaiterId waiter, const fleet::RequestId &request, const PeerReply &found)
{
    if (const auto *answered = std::get_if<requests::ForwardedAnswer>(&found)) {
        core.m_ports.m_reply(waiter, toReply(request, 0, answered->m_answer));
    } else if (std::holds_alternative<RequestInProgress>(found)) {
        core.m_ports.m_reply(waiter, api::RequestView {request, 0, api::RunState::NotApplicable, {}});
    } else {
        core.m_ports.m_reply(waiter, api::Refusal {api::ErrorKind::NotFound, "nothing is known of this request; send it, or look at an earlier answer"});
    }
}

void onPeerCallReceived(Core &core, const PeerCallReceived &event, fleet::TimePoint now)
{
    std::visit(
        [&](const auto &call) {
            serve(core, event.m_waiter, call, now);
        },
        event.m_call);
}

void onPeerCallEnded(Core &core, const PeerCallEnded &event, fleet::TimePoint now)
{
    const auto found = core.m_peerCalls.m_calls.find(event.m_id);
    if (found == core.m_peerCalls.m_calls.end()) {
        return;
    }
    const OpenPeerCall peerCall = found->second;
    core.m_peerCalls.m_calls.erase(found);
    switch (peerCall.m_kind) {
    case PeerCallKind::Request:
        onForwardedRequestEnded(core, peerCall, event);
        return;
    case PeerCallKind::Query:
        replyToQuery(core, peerCall.m_waiter, peerCall.m_request, event.m_reply.value_or(UnknownRequest {}));
        return;
    case PeerCallKind::Handover:
        onHandoverEnded(core, peerCall.m_to, event, now);
        return;
    case PeerCallKind::Fetch:
        onFetchEnded(core, event, now);
        return;
    }
}

}
