#ifndef COMPONENTS_SCHEDULER_STEP_HPP
#define COMPONENTS_SCHEDULER_STEP_HPP

#include "components/fleet/time.hpp"
#include "components/scheduler/actions.hpp"
#include "components/scheduler/events.hpp"

#include <vector>

namespace scheduler
{

struct State;

/// Applies one event to the state of one zone's scheduler and returns the resulting actions, in order.
///
/// Deterministic: no clock, no randomness and no I/O. Events may arrive late, twice or out of order.
std::vector<Action> step(State &state, const Event &event, fleet::TimePoint now);

}

#endif
