#ifndef COMPONENTS_DRAIN_EVENTS_HPP
#define COMPONENTS_DRAIN_EVENTS_HPP

#include "components/fleet/identifiers.hpp"

#include <variant>

namespace drain
{

/// SIGTERM or SIGINT. A second signal ends the process immediately.
struct StopSignal
{
};

/// What is still unfinished. Sent on every change and with every tick.
struct Progress
{
    /// True if no caller's request is queued, running or forwarded without an answer.
    bool m_requestsIdle = false;
    /// True if all records are stored in the log.
    bool m_recordsFlushed = false;
    /// Instance that can take over the request ids; empty if there is none.
    fleet::InstanceId m_successor;
};

/// The successor answered. If it declined, it has taken over nothing, and another instance may be asked.
struct HandoverAnswered
{
    fleet::InstanceId m_successor;
    bool m_isAccepted = false;
};

struct Tick
{
};

using Event = std::variant<StopSignal, Progress, HandoverAnswered, Tick>;

/// Tell peers and the load balancer that the instance is leaving, release the scheduling duty and issue no more request
/// ids. Requests that still arrive are served.
struct BeginLeaving
{
    bool operator==(const BeginLeaving &) const = default;
};

/// Stop accepting connections.
struct StopListening
{
    bool operator==(const StopListening &) const = default;
};

/// Send the state of the request ids to the successor. From the first handover on this instance dispatches nothing.
struct SendHandover
{
    fleet::InstanceId m_successor;

    bool operator==(const SendHandover &) const = default;
};

/// Tell the peers that the process ends.
struct NotifyProcessEnding
{
    bool operator==(const NotifyProcessEnding &) const = default;
};

struct Exit
{
    /// False if the time limit or a second signal aborted unfinished work.
    bool m_clean = true;

    bool operator==(const Exit &) const = default;
};

using Action = std::variant<BeginLeaving, StopListening, SendHandover, NotifyProcessEnding, Exit>;

}

#endif
