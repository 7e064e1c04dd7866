#ifndef COMPONENTS_DUTY_ACTIONS_HPP
#define COMPONENTS_DUTY_ACTIONS_HPP

#include "components/fleet/fencing_token.hpp"
#include "components/fleet/identifiers.hpp"

#include <variant>

namespace duty
{

/// Append a SchedulerClaimed record to the log.
struct Claim
{
    fleet::FencingToken m_replaces;

    bool operator==(const Claim &) const = default;
};

/// Append a SchedulerReleased record to the log. The scheduler has already stopped.
struct Release
{
    fleet::FencingToken m_token;

    bool operator==(const Release &) const = default;
};

/// Send the worker a message with the token and without commands, and pass its report to the scheduler.
struct RaiseToken
{
    fleet::WorkerId m_worker;
    fleet::FencingToken m_token;

    bool operator==(const RaiseToken &) const = default;
};

/// Build the zone's scheduler from the records. All following commands carry the token. The scheduler may start tasks while
/// mayStart() is true.
struct StartScheduling
{
    fleet::FencingToken m_token;

    bool operator==(const StartScheduling &) const = default;
};

/// Destroy the scheduler and send nothing more to workers under the token.
struct StopScheduling
{
    fleet::FencingToken m_token;

    bool operator==(const StopScheduling &) const = default;
};

using Action = std::variant<Claim, Release, RaiseToken, StartScheduling, StopScheduling>;

}

#endif
