#ifndef COMPONENTS_MEMBERSHIP_STEP_HPP
#define COMPONENTS_MEMBERSHIP_STEP_HPP

#include "components/fleet/time.hpp"
#include "components/membership/events.hpp"

namespace membership
{

struct State;

/// Applies one event and returns the heartbeats to send. Deterministic.
Actions step(State &state, const Event &event, fleet::TimePoint now);

}

#endif
