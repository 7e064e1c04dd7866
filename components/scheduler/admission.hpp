#ifndef COMPONENTS_SCHEDULER_ADMISSION_HPP
#define COMPONENTS_SCHEDULER_ADMISSION_HPP

#include "components/scheduler/context.hpp"

namespace scheduler
{

/// Starts waiting jobs according to the policy. Does nothing unless something changed that may allow a job to start.
void admitWaiting(Context &context);

}

#endif
