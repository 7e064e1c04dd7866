#ifndef COMPONENTS_DISPATCH_GUARANTEES_HPP
#define COMPONENTS_DISPATCH_GUARANTEES_HPP

#include "components/dispatch/urgent_use.hpp"

#include <vector>

namespace dispatch
{

struct Candidate;
struct Context;
struct RunState;

/// Returns the accelerators that runs of priority 0 use, by account. Runs that are being stopped do not count.
UrgentUse measureUse(const Context &context);

/// Marks the candidates of priority 0 whose account's guarantee covers all its jobs of priority 0, running and waiting.
void markGuaranteed(const Context &context, const UrgentUse &use, std::vector<Candidate> &candidates);

/// True if the run is of priority 0 and its account uses more than its guarantee, so that the run may be stopped for a guaranteed
/// candidate.
bool isBorrowed(const Context &context, const UrgentUse &use, const RunState &run);

/// Rank of the candidate in the scheduling order; a lower rank is placed first.
int rankOf(const Candidate &candidate);

}

#endif
