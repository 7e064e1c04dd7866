#ifndef COMPONENTS_DISPATCH_PLACING_HPP
#define COMPONENTS_DISPATCH_PLACING_HPP

#include "components/dispatch/placement.hpp"
#include "components/fleet/boot_time.hpp"

namespace dispatch
{

struct Candidate;

/// Finds workers with free room for the tasks of the candidate: for all of them where they work only together, else for as
/// many as there is room for. Empty where there is none. A step that has failed goes to workers that started others soundly of late, where
/// these have room.
Placement choosePlacement(const Candidate &candidate, AvailableWorkers &availableWorkers, fleet::BootTime now);

}

#endif
