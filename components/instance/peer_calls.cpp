#include "components/instance/peer_calls.hpp"

#include "components/instance/core.hpp"
#include "components/instance/peer_view.hpp"
#include "components/instance/request_calls.hpp"
#include "components/instance/state_copies.hpp"
#include "components/instance/stopping.hpp"
#include "components/requests/request_id_parts.hpp"
#include "components/requests/step.hpp"
#include "components/requests/submit.hpp"

namespace instance
{

namespace
{

/// Added to the caller's time for the way to the other instance and back.
constexpr fleet::Duration forwardMargin {500};
constexpr fleet::Duration queryTimeout {2000};

/// Takes over the ids of an instance that stops and tells everyone.
requests::HandoverAnswer takeHandover(Core &core, const requests::Handover &handover, fleet::TimePoint now)
{
    const bool taken = requests::acceptHandover(core.m_requests, handover, now);
    std::vector<requests::Issuer> inherited;
    for (std::size_t index = 1; index < core.m_requests.m_ranges.size(); ++index) {
        const requests::IdRange &range = core.m_requests.m_ranges[index];
        inherited.push_back({range.m_instance, range.m_incarnation});
    }
    feedMembership(core, membership::IdsInherited {inherited}, now);
    return {taken};
}

void serve(Core &core, requests::WaiterId waiter, const requests::ForwardedRequest &call, fleet::TimePoint now)
{
    const auto minted = requests::parseId(core.m_requestKeys, call.m_request.m_id);
    if (!minted) {
        core.m_ports.m_replyToPeer(waiter, UnknownRequest {});
        return;
    }
    core.m_forwards.m_peerWaiters.insert(waiter);
    core.m_forwards.m_sendings[waiter] = {call.m_request, call.m_sendCount};
    feedRequests(core, requests::Submitted {call.m_request, *minted, call.m_sendCount, waiter}, now);
}

void serve(Core &core, requests::WaiterId waiter, const RequestQuery &call, fleet::TimePoint)
{
    core.m_ports.m_replyToPeer(waiter, answerQuery(core, call.m_request));
}

void serve(Core &core, requests::WaiterId waiter, const requests::Handover &call, fleet::TimePoint now)
{
    core.m_ports.m_replyToPeer(waiter, takeHandover(core, call, now));
}

void serve(Core &core, requests::WaiterId waiter, const FetchState &, fleet::TimePoint)
{
    core.m_ports.m_replyToPeer(waiter, copyState(core));
}

void endRequest(Core &core, const Forward &forward, const PeerCallEnded &event)
{
    if (event.m_reply) {
        if (const auto *answered = std::get_if<requests::ForwardedAnswer>(&*event.m_reply)) {
            answerWaiter(core, forward.m_waiter, forward.m_request, answered->m_answer);
            return;
        }
    }
    const bool bytesLeft = event.m_kind != http::ResultKind::NotSent;
    answerWaiter(core, forward.m_waiter, forward.m_request, requests::answerFailedForward(forward.m_sending, bytesLeft));
}

}

void callPeer(Core &core, const Forward &forward, const PeerCall &call, fleet::Duration timeout, fleet::TimePoint now)
{
    const PeerCallId id {++core.m_forwards.m_lastCall};
    core.m_forwards.m_calls.emplace(id, forward);
    const auto address = findAddress(core, forward.m_to);
    if (!address) {
        endPeerCall(core, {id, http::ResultKind::NotSent, std::nullopt}, now);
        return;
    }
    core.m_ports.m_callPeer(id, {forward.m_to, *address}, call, timeout);
}

void forwardRequest(Core &core, const fleet::InstanceId &to, requests::WaiterId waiter, const OpenSending &sending, fleet::TimePoint now)
{
    const Forward forward {ForwardKind::Request, waiter, sending.m_request.m_id, sending.m_sending, to};
    const fleet::Duration timeout = sending.m_request.m_deadline - now + forwardMargin;
    callPeer(core, forward, requests::ForwardedRequest {sending.m_request, sending.m_sending}, timeout, now);
}

void forwardQuery(Core &core, const fleet::InstanceId &to, requests::WaiterId waiter, const fleet::RequestId &request, fleet::TimePoint now)
{
    callPeer(core, {ForwardKind::Query, waiter, request, 1, to}, RequestQuery {request}, queryTimeout, now);
}

PeerReply answerQuery(const Core &core, const fleet::RequestId &request)
{
    const auto found = core.m_requests.m_entries.find(request);
    if (found == core.m_requests.m_entries.end()) {
        return UnknownRequest {};
    }
    return found->second.isFinished() ? PeerReply(requests::ForwardedAnswer {request, found->second.m_answer}) : PeerReply(StillUnderWay {});
}

void replyToQuery(Core &core, requests::WaiterId waiter, const fleet::RequestId &request, const PeerReply &found)
{
    if (const auto *answered = std::get_if<requests::ForwardedAnswer>(&found)) {
        core.m_ports.m_reply(waiter, toReply(request, 0, answered->m_answer));
    } else if (std::holds_alternative<StillUnderWay>(found)) {
        core.m_ports.m_reply(waiter, api::RequestView {request, 0, api::RunState::NotApplicable, {}});
    } else {
        core.m_ports.m_reply(waiter, api::Refusal {api::ErrorKind::NotFound, "nothing is known of this request; send it, or look at an earlier answer"});
    }
}

void servePeer(Core &core, const PeerCallReceived &event, fleet::TimePoint now)
{
    std::visit(
        [&](const auto &call) {
            serve(core, event.m_waiter, call, now);
        },
        event.m_call);
}

void endPeerCall(Core &core, const PeerCallEnded &event, fleet::TimePoint now)
{
    const auto found = core.m_forwards.m_calls.find(event.m_id);
    if (found == core.m_forwards.m_calls.end()) {
        return;
    }
    const Forward forward = found->second;
    core.m_forwards.m_calls.erase(found);
    switch (forward.m_kind) {
    case ForwardKind::Request:
        endRequest(core, forward, event);
        return;
    case ForwardKind::Query:
        replyToQuery(core, forward.m_waiter, forward.m_request, event.m_reply.value_or(UnknownRequest {}));
        return;
    case ForwardKind::Handover:
        endHandover(core, forward.m_to, event, now);
        return;
    case ForwardKind::Fetch:
        endFetch(core, event, now);
        return;
    }
}

}
