#ifndef COMPONENTS_SCHEDULER_ADMISSION_HPP
#define COMPONENTS_SCHEDULER_ADMISSION_HPP

#include "components/scheduler/context.hpp"

namespace scheduler
{

/// Places waiting jobs as the policy says. Does nothing unless something changed that may let one start.
void admitWaiting(Context &context);

}

#endif
