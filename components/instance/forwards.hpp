#ifndef COMPONENTS_INSTANCE_FORWARDS_HPP
#define COMPONENTS_INSTANCE_FORWARDS_HPP

#include "components/instance/peer_call_id.hpp"
#include "components/requests/request.hpp"
#include "components/requests/waiter.hpp"

#include <cstdint>
#include <map>
#include <set>

namespace instance
{

enum class ForwardKind : std::uint8_t {
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
struct Forward
{
    ForwardKind m_kind = ForwardKind::Request;
    requests::WaiterId m_waiter;
    fleet::RequestId m_request;
    int m_sending = 1;
    fleet::InstanceId m_to;

    bool operator==(const Forward &) const = default;
};

/// One caller's attempt that has no answer yet.
struct OpenSending
{
    requests::Request m_request;
    int m_sending = 1;

    bool operator==(const OpenSending &) const = default;
};

/// Calls between this instance and others that have not ended.
struct Forwards
{
    std::uint64_t m_lastCall = 0;
    std::map<PeerCallId, Forward> m_calls;
    /// Waiters that are other instances.
    std::set<requests::WaiterId> m_peerWaiters;
    /// Attempts without an answer; an heir gets them after a handover.
    std::map<requests::WaiterId, OpenSending> m_sendings;
    /// The instance that took this one's table in a planned stop.
    fleet::InstanceId m_heir;

    bool operator==(const Forwards &) const = default;
};

}

#endif
