#ifndef COMPONENTS_DISPATCH_EVICTIONS_HPP
#define COMPONENTS_DISPATCH_EVICTIONS_HPP

#include "components/dispatch/eviction.hpp"

#include <vector>

namespace dispatch
{

struct Candidate;
struct Context;

/// The cheapest way to make room for all tasks of the candidate by stopping runs of lower priority; empty where there is
/// none.
std::vector<Eviction> chooseEvictions(const Context &context, const Candidate &candidate, AvailableWorkers &availableWorkers);

}

#endif
