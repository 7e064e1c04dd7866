#ifndef COMPONENTS_DISPATCH_RACK_PREFERENCE_HPP
#define COMPONENTS_DISPATCH_RACK_PREFERENCE_HPP

#include "components/dispatch/worker_state.hpp"
#include "components/fleet/boot_time.hpp"
#include "components/fleet/identifiers.hpp"

#include <map>

namespace dispatch
{

struct Candidate;
struct WaitingStep;

/// Lets the tasks of the candidate run in several racks. They then take longer.
void giveUpOneRack(Candidate &candidate);

/// True if a rack of the listed workers has room for all tasks of the candidate while nothing else runs there.
bool canARackHold(const Candidate &candidate, const std::map<fleet::WorkerId, WorkerState> &workers, fleet::BootTime now);

/// Adds the time since the last call to the time for which the gang would have fit in several racks, if it did then and does now.
void recordFitInSeveralRacks(WaitingStep &waiting, bool fits, fleet::BootTime now);

/// True if the gang has waited for one rack as long as that may pay, while it would have fit in several.
bool hasWaitedForOneRack(const WaitingStep &waiting);

}

#endif
