#ifndef COMPONENTS_SCHEDULER_FEASIBILITY_HPP
#define COMPONENTS_SCHEDULER_FEASIBILITY_HPP

#include "components/scheduler/context.hpp"

namespace scheduler
{

/// Ends waiting jobs that can never run, with the reason: larger than any worker, rack or the whole zone, or than the
/// account's quota where no guarantee covers it. Waits until the list of workers has settled.
void refuseInfeasible(Context &context);

}

#endif
