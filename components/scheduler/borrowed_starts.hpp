#ifndef COMPONENTS_SCHEDULER_BORROWED_STARTS_HPP
#define COMPONENTS_SCHEDULER_BORROWED_STARTS_HPP

#include "components/scheduler/context.hpp"

namespace scheduler
{

/// Starts waiting jobs of one urgency on idle capacity by weighted fair share among accounts, without delaying reserved jobs.
void startBorrowers(Context &context, fleet::Urgency urgency);

/// Starts urgent jobs within their account's budget; preempts gangs of lower urgency where no capacity is free.
void startUrgent(Context &context);

}

#endif
