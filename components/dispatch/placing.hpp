#ifndef COMPONENTS_DISPATCH_PLACING_HPP
#define COMPONENTS_DISPATCH_PLACING_HPP

#include "components/dispatch/placement.hpp"
#include "components/fleet/boot_time.hpp"

namespace dispatch
{

struct Candidate;

/// Chooses workers with free capacity for the tasks of the candidate: for all tasks of a gang, otherwise for as many as fit.
/// Empty if there are none. A step that has failed prefers workers where other runs started healthily a short time ago.
Placement choosePlacement(const Candidate &candidate, AvailableWorkers &availableWorkers, fleet::BootTime now);

}

#endif
