#ifndef COMPONENTS_SCHEDULER_GUARANTEE_COVERAGE_HPP
#define COMPONENTS_SCHEDULER_GUARANTEE_COVERAGE_HPP

#include "components/scheduler/context.hpp"

namespace scheduler
{

/// Makes the guaranteed slots of every account match the configuration. Gangs whose slot goes become borrowers.
void applyGuarantees(Context &context);

/// Finds new places for unfilled slots on workers that cannot be used, and takes running gangs into free slots.
void repairSlots(Context &context);

/// Starts the job under its account's guarantee: on what is free where that is possible, else by reclaiming from borrowers.
bool startCovered(Context &context, Job &job);

}

#endif
