#ifndef COMPONENTS_REQUESTS_STEP_HPP
#define COMPONENTS_REQUESTS_STEP_HPP

#include "components/fleet/time.hpp"
#include "components/requests/actions.hpp"
#include "components/requests/events.hpp"

#include <vector>

namespace requests
{

struct State;

/// Issues the next id of this incarnation. Nothing is remembered but the counter. Throws RequestError where the
/// instance is stopping; ask another one.
RequestIdParts issueId(State &state);

/// Applies one event and returns what is to be done, in order. Deterministic: no clock, no randomness and no I/O.
std::vector<Action> step(State &state, const Event &event, fleet::TimePoint now);

/// Takes over the ids of an instance that stops. False where this instance is stopping itself; the sender may then ask
/// another. Repeated, it changes nothing.
bool acceptHandover(State &state, const Handover &handover, fleet::TimePoint now);

/// True where nothing waits or runs, so that a planned stop can hand over without cutting a request short.
bool isIdle(const State &state);

/// Ends this instance's dispatching for good and returns what its heir needs. Queued requests become refused and open
/// attempts become unknown; waiters are answered through `actions`. Called again, it returns the same handover.
Handover handOver(State &state, std::vector<Action> &actions, fleet::TimePoint now);

}

#endif
