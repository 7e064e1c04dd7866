#ifndef COMPONENTS_CALLERS_SUBMISSION_LIMITS_HPP
#define COMPONENTS_CALLERS_SUBMISSION_LIMITS_HPP

#include <string>

namespace callers
{

struct Submission;

/// Returns why a submission exceeds what the scheduler can keep and plan, with the limit; empty if it does not. Without limits a single
/// job could occupy the holder of the scheduling duty for minutes, or overflow its sums.
std::string findExcess(const Submission &submission);

}

#endif
