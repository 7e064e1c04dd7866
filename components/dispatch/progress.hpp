#ifndef COMPONENTS_DISPATCH_PROGRESS_HPP
#define COMPONENTS_DISPATCH_PROGRESS_HPP

#include "components/fleet/time.hpp"
#include "components/jobs/run_id.hpp"

namespace dispatch
{

struct Context;
struct RunState;

/// Estimates the remaining time of the run from its progress or, before there is any, from the caller's estimate.
fleet::Duration remainingTime(const Context &context, const jobs::RunId &id, const RunState &run);

}

#endif
