#ifndef COMPONENTS_SCHEDULER_GUARANTEE_COVERAGE_HPP
#define COMPONENTS_SCHEDULER_GUARANTEE_COVERAGE_HPP

#include "components/scheduler/context.hpp"

namespace scheduler
{

/// Makes the slots of every account match its configured guarantees. Gangs whose slot is dropped become borrowers.
void applyGuarantees(Context &context);

/// Moves unfilled slots away from unusable workers, and assigns running borrowers to free slots of their account.
void repairSlots(Context &context);

/// Starts the job under its account's guarantee: on free capacity where possible, else by preempting borrowers.
bool startCovered(Context &context, Job &job);

}

#endif
