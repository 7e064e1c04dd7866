#ifndef COMPONENTS_DRAIN_STEP_HPP
#define COMPONENTS_DRAIN_STEP_HPP

#include "components/drain/events.hpp"
#include "components/fleet/time.hpp"

#include <vector>

namespace drain
{

struct State;

/// Applies one event to the planned stop and returns the actions to carry out, in order. Deterministic.
std::vector<Action> step(State &state, const Event &event, fleet::TimePoint now);

}

#endif
