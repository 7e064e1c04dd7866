#ifndef COMPONENTS_INSTANCE_OPEN_PEER_CALLS_HPP
#define COMPONENTS_INSTANCE_OPEN_PEER_CALLS_HPP

#include "components/instance/peer_call_id.hpp"
#include "components/requests/request.hpp"
#include "components/requests/waiter.hpp"

#include <cstdint>
#include <map>
#include <set>

namespace instance
{

enum class PeerCallKind : std::uint8_t {
    /// Forwards a caller's request to the instance that dispatches its id.
    Request,
    /// Forwards a caller's query for the state of a request.
    Query,
    /// Hands over this instance's request table during a planned stop.
    Handover,
    /// Fetches the state built from both streams.
    Fetch,
};

/// A call to another instance that has not ended yet.
struct OpenPeerCall
{
    PeerCallKind m_kind = PeerCallKind::Request;
    requests::WaiterId m_waiter;
    fleet::RequestId m_request;
    int m_sendCount = 1;
    fleet::InstanceId m_to;

    bool operator==(const OpenPeerCall &) const = default;
};

/// A caller's request that has no answer yet.
struct PendingRequest
{
    requests::Request m_request;
    int m_sendCount = 1;

    bool operator==(const PendingRequest &) const = default;
};

/// Calls between this instance and others that have not ended yet.
struct OpenPeerCalls
{
    std::uint64_t m_lastCall = 0;
    std::map<PeerCallId, OpenPeerCall> m_calls;
    /// Waiters that are other instances and not callers.
    std::set<requests::WaiterId> m_peerWaiters;
    /// Requests without an answer; after a handover they are forwarded to the successor.
    std::map<requests::WaiterId, PendingRequest> m_pendingRequests;
    /// The instance that received this one's request table in a planned stop.
    fleet::InstanceId m_successor;

    bool operator==(const OpenPeerCalls &) const = default;
};

}

#endif
