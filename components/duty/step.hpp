#ifndef COMPONENTS_DUTY_STEP_HPP
#define COMPONENTS_DUTY_STEP_HPP

#include "components/duty/actions.hpp"
#include "components/duty/events.hpp"
#include "components/fleet/time.hpp"

#include <vector>

namespace duty
{

struct State;

/// Applies one event and returns the actions to carry out, in order. Deterministic.
std::vector<Action> step(State &state, const Event &event, fleet::TimePoint now);

/// True if this instance may reserve and start tasks: its role is Holding and its authority has not expired.
bool mayStart(const State &state, fleet::TimePoint now);

/// True if this instance may renew leases. A new holder may renew before it may start tasks.
bool mayRenew(const State &state, fleet::TimePoint now);

}

#endif
