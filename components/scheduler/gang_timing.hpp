#ifndef COMPONENTS_SCHEDULER_GANG_TIMING_HPP
#define COMPONENTS_SCHEDULER_GANG_TIMING_HPP

#include "components/scheduler/context.hpp"

namespace scheduler
{

/// Makes the time-outs of one attempt, and renews its leases where every task is confirmed.
void tickGang(Context &context, Job &job);

/// Wait before the next attempt after so many refusals or losses in a row.
fleet::Duration retryDelay(const Settings &settings, int consecutiveFailures);

}

#endif
