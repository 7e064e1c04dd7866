#ifndef COMPONENTS_REQUESTS_RUNNER_CHOICE_HPP
#define COMPONENTS_REQUESTS_RUNNER_CHOICE_HPP

#include "components/fleet/time.hpp"

namespace requests
{

struct Entry;
struct Runner;
struct State;

/// How many attempts this instance may have at the runner at once. Its equal part of the slots is always allowed;
/// beyond that, half of the slots that a fresh report shows free, so that instances which read the same report do not
/// overrun the runner together.
int allowedInFlight(const State &state, const Runner &runner, fleet::TimePoint now);

/// The least loaded runner that may take the request; null where there is none.
Runner *chooseRunner(State &state, const Entry &entry, fleet::TimePoint now);

/// True where a request that was never attempted could be sent.
bool isAnyRunnerFree(const State &state, fleet::TimePoint now);

/// Attempts that this instance can have open at all runners together, by its equal parts.
int totalCapacity(const State &state);

/// Notes a failure of the runner: it is avoided for a while that doubles with each failure in a row.
void noteFailure(const State &state, Runner &runner, fleet::TimePoint now);

/// Notes that the runner had no free slot.
void noteNoFreeSlot(Runner &runner, fleet::TimePoint now);

void noteSuccess(Runner &runner);

}

#endif
