#ifndef COMPONENTS_REQUESTS_RUNNER_CHOICE_HPP
#define COMPONENTS_REQUESTS_RUNNER_CHOICE_HPP

#include "components/fleet/time.hpp"

namespace requests
{

struct Entry;
struct Runner;
struct State;

/// Maximum number of open attempts that this instance may have at the runner. Its equal share of the slots is always
/// allowed. Beyond that it may use half of the slots that a fresh load report shows as free, so that instances that act
/// on the same report do not overload the runner together.
int allowedInFlight(const State &state, const Runner &runner, fleet::TimePoint now);

/// Returns the least loaded runner that may take the request; null if there is none.
Runner *chooseRunner(State &state, const Entry &entry, fleet::TimePoint now);

/// True if some runner could take a request that has not been attempted yet.
bool isAnyRunnerFree(const State &state, fleet::TimePoint now);

/// Sum of this instance's equal shares of the slots over all runners that can be used.
int totalCapacity(const State &state);

/// Records a failure of the runner, which is then avoided for a time that doubles with each consecutive failure.
void recordFailure(const State &state, Runner &runner, fleet::TimePoint now);

/// Records that the runner had no free slot.
void recordNoFreeSlot(Runner &runner, fleet::TimePoint now);

void recordSuccess(Runner &runner);

}

#endif
