#ifndef COMPONENTS_DRAIN_EVENTS_HPP
#define COMPONENTS_DRAIN_EVENTS_HPP

#include "components/fleet/identifiers.hpp"

#include <variant>

namespace drain
{

/// SIGTERM or SIGINT. A second one ends the process at once.
struct StopSignal
{
};

/// How much is unfinished. Sent whenever it changes and with every tick.
struct Progress
{
    /// Requests of callers that are queued, running or forwarded and not answered.
    bool m_requestsIdle = false;
    /// Everything that has to be recorded is in the log.
    bool m_recordsFlushed = false;
    /// Who could take over the request ids; empty where nobody can.
    fleet::InstanceId m_successor;
};

/// The successor answered. Where it declined, it has taken nothing over and another one may be asked.
struct HandoverAnswered
{
    fleet::InstanceId m_successor;
    bool m_isAccepted = false;
};

struct Tick
{
};

using Event = std::variant<StopSignal, Progress, HandoverAnswered, Tick>;

/// Tell peers and the balancer that the instance leaves, release the scheduling duty, and issue no more request ids.
/// Requests that still come are served.
struct BeginLeaving
{
    bool operator==(const BeginLeaving &) const = default;
};

/// Accept no more connections.
struct StopListening
{
    bool operator==(const StopListening &) const = default;
};

/// Send everything known about the request ids to the successor. From the first time on this instance dispatches nothing.
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
    /// False where the limit or a second signal cut something short.
    bool m_clean = true;

    bool operator==(const Exit &) const = default;
};

using Action = std::variant<BeginLeaving, StopListening, SendHandover, NotifyProcessEnding, Exit>;

}

#endif
