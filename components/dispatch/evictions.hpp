#ifndef COMPONENTS_DISPATCH_EVICTIONS_HPP
#define COMPONENTS_DISPATCH_EVICTIONS_HPP

#include "components/dispatch/eviction.hpp"
#include "components/fleet/time.hpp"

#include <vector>

namespace dispatch
{

struct Candidate;
struct Context;

/// The cheapest way to make room for all tasks of the candidate by stopping runs of lower priority; empty where there is
/// none.
std::vector<Eviction> chooseEvictions(const Context &context, const Candidate &candidate, Rooms &rooms);

/// Workers that will probably have room for all tasks of the candidate within `wait` without stopping anything; empty where
/// there are none.
std::vector<Eviction> expectRoom(const Context &context, const Candidate &candidate, Rooms &rooms, fleet::Duration wait);

}

#endif
