#ifndef COMPONENTS_SCHEDULER_FEASIBILITY_HPP
#define COMPONENTS_SCHEDULER_FEASIBILITY_HPP

#include "components/scheduler/context.hpp"

namespace scheduler
{

/// Ends waiting jobs that can never run and names the reason: larger than any worker, any rack or the whole zone, or than
/// the account's quota where no guarantee covers the job. Does nothing until the worker list has stopped growing.
void refuseInfeasible(Context &context);

}

#endif
