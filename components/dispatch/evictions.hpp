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

}

#endif
