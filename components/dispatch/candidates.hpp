#ifndef COMPONENTS_DISPATCH_CANDIDATES_HPP
#define COMPONENTS_DISPATCH_CANDIDATES_HPP

#include "components/dispatch/candidate.hpp"

#include <vector>

namespace dispatch
{

struct Context;

/// Returns every step with tasks that are ready to start, in scheduling order.
std::vector<Candidate> findCandidates(const Context &context);

}

#endif
