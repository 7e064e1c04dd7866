#ifndef COMPONENTS_SCHEDULER_ALLOCATIONS_HPP
#define COMPONENTS_SCHEDULER_ALLOCATIONS_HPP

#include "components/scheduler/events.hpp"
#include "components/scheduler/state.hpp"

namespace scheduler
{

/// Adds a worker or changes its entry.
void addOrUpdateWorker(State &state, const WorkerListed &event, fleet::TimePoint now);

/// Recomputes whether new tasks may be placed on the worker.
void refreshUsable(State &state, int worker, fleet::TimePoint now);

/// Allocates or releases the resources of one task on its worker, and in the slot that covers the gang.
void allocateTask(State &state, const Job &job, int task);
void releaseTask(State &state, const Job &job, int task);

/// Records that a lease may exist on the task's worker, or that it is over for certain.
void addLease(State &state, Job &job, int task);
void removeLease(State &state, Job &job, int task);

/// True if the workers of the attempt have capacity for its leases beside all leases that may still exist.
bool hasCapacityForLeases(const State &state, const Job &job);

TaskRef taskRef(const Job &job, int task);

}

#endif
