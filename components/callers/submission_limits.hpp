#ifndef COMPONENTS_CALLERS_SUBMISSION_LIMITS_HPP
#define COMPONENTS_CALLERS_SUBMISSION_LIMITS_HPP

#include "components/fleet/resources.hpp"

#include <string>

namespace callers
{

struct Submission;

/// Returns why tasks of the submission can never run within the maximum of their account: a single task of a step, or all tasks of a gang
/// together, ask for more. Empty if they can. A maximum of 0 is no limit.
std::string findOverMaximum(const Submission &submission, const fleet::Resources &maximum);

/// Returns why a submission exceeds what the scheduler can keep and plan, with the limit; empty if it does not. Without limits a single
/// job could occupy the holder of the scheduling duty for minutes, or overflow its sums.
std::string findExcess(const Submission &submission);

}

#endif
