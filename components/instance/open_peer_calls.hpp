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
    /// A caller's attempt.
    Request,
    /// A caller's question.
    Query,
    /// This instance's table in a planned stop.
    Handover,
    /// The state of both streams.
    Fetch,
};

/// One call to another instance that has not ended.
struct OpenPeerCall
{
    PeerCallKind m_kind = PeerCallKind::Request;
    requests::WaiterId m_waiter;
    fleet::RequestId m_request;
    int m_sendCount = 1;
    fleet::InstanceId m_to;

    bool operator==(const OpenPeerCall &) const = default;
};

/// One caller's attempt that has no answer yet.
struct PendingRequest
{
    requests::Request m_request;
    int m_sendCount = 1;

    bool operator==(const PendingRequest &) const = default;
};

/// Calls between this instance and others that have not ended.
struct OpenPeerCalls
{
    std::uint64_t m_lastCall = 0;
    std::map<PeerCallId, OpenPeerCall> m_calls;
    /// Waiters that are other instances.
    std::set<requests::WaiterId> m_peerWaiters;
    /// Attempts without an answer; an heir gets them after a handover.
    std::map<requests::WaiterId, PendingRequest> m_pendingRequests;
    /// The instance that took this one's table in a planned stop.
    fleet::InstanceId m_successor;

    bool operator==(const OpenPeerCalls &) const = default;
};

}

#endif
