#ifndef COMPONENTS_REQUESTS_ACTIONS_HPP
#define COMPONENTS_REQUESTS_ACTIONS_HPP

#include "components/fleet/identifiers.hpp"
#include "components/fleet/incarnation.hpp"
#include "components/fleet/time.hpp"
#include "components/requests/answer.hpp"
#include "components/requests/waiter.hpp"

#include <string>
#include <variant>

namespace requests
{

/// Send the request to the runner once. The sender must not send it again, even if the connection breaks.
struct Dispatch
{
    fleet::RunnerId m_runner;
    fleet::RequestId m_request;
    int m_attempt = 0;
    fleet::AccountId m_account;
    std::string m_kind;
    std::string m_body;
    /// The connection may be closed at this time; report DispatchFailed with m_mayHaveBeenSent set then.
    fleet::TimePoint m_attemptDeadline;

    bool operator==(const Dispatch &) const = default;
};

/// Send the answer to one waiting connection.
struct Reply
{
    WaiterId m_waiter;
    fleet::RequestId m_request;
    Answer m_answer;

    bool operator==(const Reply &) const = default;
};

/// After the handover another instance dispatches the request; forward it there for this waiter. If that fails, the
/// outcome is unknown, even if the caller sent the id for the first time and no byte was forwarded: another copy of the
/// same message may have reached the successor.
struct ForwardToSuccessor
{
    WaiterId m_waiter;
    fleet::RequestId m_request;

    bool operator==(const ForwardToSuccessor &) const = default;
};

/// Tell the instance that sent a handover whether this one accepted it.
struct HandoverReply
{
    fleet::InstanceId m_from;
    fleet::Incarnation m_incarnation;
    bool m_accepted = false;

    bool operator==(const HandoverReply &) const = default;
};

using Action = std::variant<Dispatch, Reply, ForwardToSuccessor, HandoverReply>;

}

#endif
