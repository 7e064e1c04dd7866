#ifndef COMPONENTS_DISPATCH_CANDIDATES_HPP
#define COMPONENTS_DISPATCH_CANDIDATES_HPP

#include "components/dispatch/candidate.hpp"

#include <vector>

namespace dispatch
{

struct Context;

/// Every step with tasks that could start now, those that go first in front.
std::vector<Candidate> findCandidates(const Context &context);

}

#endif
