#ifndef COMPONENTS_INSTANCE_PEER_CALLS_HPP
#define COMPONENTS_INSTANCE_PEER_CALLS_HPP

#include "components/fleet/time.hpp"
#include "components/instance/events.hpp"

namespace instance
{

struct Core;
struct OpenPeerCall;
struct PendingRequest;

/// Calls another instance. A PeerCallEnded event follows; it is handled immediately if the address is unknown.
void callPeer(Core &core, const OpenPeerCall &peerCall, const PeerCall &call, fleet::Duration timeout, fleet::TimePoint now);

/// Forwards a caller's request to the instance that dispatches its id.
void forwardRequest(Core &core, const fleet::InstanceId &to, requests::WaiterId waiter, const PendingRequest &pending, fleet::TimePoint now);

/// Forwards a caller's query to the instance that dispatches the id.
void forwardQuery(Core &core, const fleet::InstanceId &to, requests::WaiterId waiter, const fleet::RequestId &request, fleet::TimePoint now);

/// Returns the state of a request that this instance dispatches.
PeerReply answerQuery(const Core &core, const fleet::RequestId &request);

/// Sends the result of a query to the caller.
void replyToQuery(Core &core, requests::WaiterId waiter, const fleet::RequestId &request, const PeerReply &found);

/// Handles a call from another instance.
void onPeerCallReceived(Core &core, const PeerCallReceived &event, fleet::TimePoint now);

/// Handles the end of a call to another instance.
void onPeerCallEnded(Core &core, const PeerCallEnded &event, fleet::TimePoint now);

}

#endif
