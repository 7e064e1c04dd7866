#ifndef COMPONENTS_DISPATCH_CANDIDATES_HPP
#define COMPONENTS_DISPATCH_CANDIDATES_HPP

#include "components/dispatch/candidate.hpp"

#include <vector>

namespace dispatch
{

struct Context;

/// Returns the steps with tasks that are ready to start, in scheduling order: of each job as many as may be launched, and at least one of each
/// step. The rest is counted; see Candidate::m_unlistedTasks.
std::vector<Candidate> findCandidates(const Context &context);

}

#endif
