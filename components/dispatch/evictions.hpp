#ifndef COMPONENTS_DISPATCH_EVICTIONS_HPP
#define COMPONENTS_DISPATCH_EVICTIONS_HPP

#include "components/dispatch/eviction.hpp"

#include <vector>

namespace dispatch
{

struct Candidate;
struct Context;

/// Returns the evictions with the least lost work that free capacity for all tasks of the candidate; empty if there are none.
/// Only runs of lower priority are stopped, and borrowed ones if the candidate may reclaim capacity.
std::vector<Eviction> chooseEvictions(const Context &context, const Candidate &candidate, AvailableWorkers &availableWorkers);

/// Returns the runs of lower priority of the candidate's own account that have to be stopped, in addition to those that are being stopped
/// already, so that `needed` becomes free below the maximum of the account; those that lose least come first. Empty if that is not enough.
std::vector<jobs::RunId> chooseStopsInOwnAccount(const Context &context, const Candidate &candidate, const fleet::Resources &needed);

}

#endif
