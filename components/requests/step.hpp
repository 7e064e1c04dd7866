#ifndef COMPONENTS_REQUESTS_STEP_HPP
#define COMPONENTS_REQUESTS_STEP_HPP

#include "components/fleet/time.hpp"
#include "components/requests/actions.hpp"
#include "components/requests/events.hpp"

#include <vector>

namespace requests
{

struct State;

/// Issues the next id of this incarnation and stores only the counter. Throws RequestError if the instance is stopping;
/// another instance can issue the id.
RequestIdParts issueId(State &state);

/// Applies one event and returns the actions to carry out, in order. Deterministic: uses no clock, randomness or I/O.
std::vector<Action> step(State &state, const Event &event, fleet::TimePoint now);

/// Accepts the request ids and finished requests of an instance that stops. Returns false if this instance is stopping
/// itself; the sender may then ask another one. Idempotent.
bool acceptHandover(State &state, const Handover &handover, fleet::TimePoint now);

/// True if no request is queued or running, so that a planned stop can hand over without interrupting a request.
bool isIdle(const State &state);

/// Ends this instance's dispatching permanently and returns what its successor needs. Queued requests are refused,
/// requests with open attempts get an unknown outcome, and waiters are answered through `actions`. A repeated call
/// returns the same handover.
Handover handOver(State &state, std::vector<Action> &actions, fleet::TimePoint now);

}

#endif
