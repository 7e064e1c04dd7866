#ifndef COMPONENTS_DUTY_ACTIONS_HPP
#define COMPONENTS_DUTY_ACTIONS_HPP

#include "components/fleet/fencing_token.hpp"
#include "components/fleet/identifiers.hpp"

#include <variant>

namespace duty
{

/// Append a SchedulerClaimed record.
struct Claim
{
    fleet::FencingToken m_replaces;

    bool operator==(const Claim &) const = default;
};

/// Append a SchedulerReleased record; the scheduler has stopped already.
struct Release
{
    fleet::FencingToken m_token;

    bool operator==(const Release &) const = default;
};

/// Send the worker an empty command message with the token and feed its report to the scheduler.
struct RaiseToken
{
    fleet::WorkerId m_worker;
    fleet::FencingToken m_token;

    bool operator==(const RaiseToken &) const = default;
};

/// Build the scheduler of the zone from the records; commands carry the token from now on. It may start tasks when
/// mayStart() says so.
struct StartScheduling
{
    fleet::FencingToken m_token;

    bool operator==(const StartScheduling &) const = default;
};

/// Drop the scheduler. Nothing is sent to workers any more under the token.
struct StopScheduling
{
    fleet::FencingToken m_token;

    bool operator==(const StopScheduling &) const = default;
};

using Action = std::variant<Claim, Release, RaiseToken, StartScheduling, StopScheduling>;

}

#endif
