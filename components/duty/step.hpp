#ifndef COMPONENTS_DUTY_STEP_HPP
#define COMPONENTS_DUTY_STEP_HPP

#include "components/duty/actions.hpp"
#include "components/duty/events.hpp"
#include "components/fleet/time.hpp"

#include <vector>

namespace duty
{

struct State;

/// Applies one event and returns what is to be done, in order. Deterministic.
std::vector<Action> step(State &state, const Event &event, fleet::TimePoint now);

/// True where the holder may reserve and start tasks: it holds, and its authority has not lapsed.
bool mayStart(const State &state, fleet::TimePoint now);

/// True where the holder may renew leases. A new holder renews before it may start.
bool mayRenew(const State &state, fleet::TimePoint now);

}

#endif
