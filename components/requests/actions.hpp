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

/// Send the request to the runner, once. The sender must not repeat it, also not on a broken connection.
struct Dispatch
{
    fleet::RunnerId m_runner;
    fleet::RequestId m_request;
    int m_attempt = 0;
    fleet::AccountId m_account;
    std::string m_kind;
    std::string m_body;
    /// The connection may be closed at this time; the outcome is then DispatchFailed with bytes left.
    fleet::TimePoint m_attemptDeadline;

    bool operator==(const Dispatch &) const = default;
};

/// Tell one waiting connection its answer.
struct Reply
{
    WaiterId m_waiter;
    fleet::RequestId m_request;
    Answer m_answer;

    bool operator==(const Reply &) const = default;
};

/// The request belongs to another instance since the handover; forward it there for this waiter. Where that fails the
/// outcome is unknown, also for a first sending and where no byte was sent: another copy may have come through.
struct ForwardToSuccessor
{
    WaiterId m_waiter;
    fleet::RequestId m_request;

    bool operator==(const ForwardToSuccessor &) const = default;
};

/// Tell the instance that sent a handover whether this one took it over.
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
