#ifndef COMPONENTS_DISPATCH_GUARANTEES_HPP
#define COMPONENTS_DISPATCH_GUARANTEES_HPP

#include "components/dispatch/urgent_use.hpp"

#include <vector>

namespace dispatch
{

struct Candidate;
struct Context;
struct RunState;

/// Accelerators that the runs of priority 0 hold, by account.
UrgentUse measureUse(const Context &context);

/// Marks the candidates whose accounts need no more for all their jobs of priority 0 than they are guaranteed.
void markGuaranteed(const Context &context, const UrgentUse &use, std::vector<Candidate> &candidates);

/// True where the run is of priority 0 and its account holds more than it is guaranteed, so that the run may be stopped for a
/// candidate that is guaranteed its room.
bool isBorrowed(const Context &context, const UrgentUse &use, const RunState &run);

/// Where the candidate stands among those that wait for room: lower goes first.
int rankOf(const Candidate &candidate);

}

#endif
