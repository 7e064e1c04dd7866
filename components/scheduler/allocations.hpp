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

/// Books one task of the job's attempt on its worker, or releases it; also in the slot that covers the gang.
void allocateTask(State &state, const Job &job, int task);
void releaseTask(State &state, const Job &job, int task);

/// Notes that a lease may exist on the task's worker, or that it is certainly over.
void addLease(State &state, Job &job, int task);
void removeLease(State &state, Job &job, int task);

/// True where the workers of the attempt have room for its leases beside all that may still exist.
bool hasCapacityForLeases(const State &state, const Job &job);

TaskRef taskRef(const Job &job, int task);

}

#endif
