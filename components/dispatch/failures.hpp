#ifndef COMPONENTS_DISPATCH_FAILURES_HPP
#define COMPONENTS_DISPATCH_FAILURES_HPP

#include "components/fleet/identifiers.hpp"
#include "components/jobs/job_id.hpp"

namespace dispatch
{

struct Context;

/// True if the job failed recently on so many workers other than the given one that the job is the likely cause of its failures.
bool isJobLikelyCause(const Context &context, const jobs::JobId &job, const fleet::WorkerId &other = {});

}

#endif
