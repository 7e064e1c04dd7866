#ifndef COMPONENTS_INSTANCE_PEER_CALLS_HPP
#define COMPONENTS_INSTANCE_PEER_CALLS_HPP

#include "components/fleet/time.hpp"
#include "components/instance/events.hpp"

namespace instance
{

struct Core;
struct OpenPeerCall;
struct PendingRequest;

/// Calls another instance. The end comes as PeerCallEnded, at once where its address is not known.
void callPeer(Core &core, const OpenPeerCall &peerCall, const PeerCall &call, fleet::Duration timeout, fleet::TimePoint now);

/// Forwards a caller's attempt to the dispatcher of its id.
void forwardRequest(Core &core, const fleet::InstanceId &to, requests::WaiterId waiter, const PendingRequest &pending, fleet::TimePoint now);

/// Forwards a caller's question to the dispatcher of the id.
void forwardQuery(Core &core, const fleet::InstanceId &to, requests::WaiterId waiter, const fleet::RequestId &request, fleet::TimePoint now);

/// What this instance knows of a request that it dispatches.
PeerReply answerQuery(const Core &core, const fleet::RequestId &request);

/// Tells a caller what was found.
void replyToQuery(Core &core, requests::WaiterId waiter, const fleet::RequestId &request, const PeerReply &found);

/// Serves a call of another instance.
void onPeerCallReceived(Core &core, const PeerCallReceived &event, fleet::TimePoint now);

/// Takes in the end of a call to another instance.
void onPeerCallEnded(Core &core, const PeerCallEnded &event, fleet::TimePoint now);

}

#endif
