#ifndef COMPONENTS_SCHEDULER_GANG_TIMING_HPP
#define COMPONENTS_SCHEDULER_GANG_TIMING_HPP

#include "components/scheduler/context.hpp"

namespace scheduler
{

/// Handles the timeouts of one attempt, and renews its leases if every task is confirmed.
void tickGang(Context &context, Job &job);

/// Returns the exponential backoff before the next attempt, from `m_retryBase` up to `m_retryMax`.
fleet::Duration retryDelay(const Settings &settings, int consecutiveFailures);

}

#endif
