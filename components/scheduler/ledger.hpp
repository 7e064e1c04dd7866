#ifndef COMPONENTS_SCHEDULER_LEDGER_HPP
#define COMPONENTS_SCHEDULER_LEDGER_HPP

#include "components/scheduler/events.hpp"
#include "components/scheduler/state.hpp"

namespace scheduler
{

/// Adds a worker or changes its entry.
void listWorker(State &state, const WorkerListed &event);

/// Recomputes whether new tasks may be placed on the worker.
void refreshUsable(State &state, int worker);

/// Books every task of the attempt on its worker.
void book(State &state, const Job &job);
/// Releases one task of the job.
void unbook(State &state, const Job &job, int task);

/// Notes that a lease may exist on the task's worker.
void addLease(State &state, const Job &job, int task);
void removeLease(State &state, const Job &job, int task);

TaskRef taskRef(const Job &job, int task);

}

#endif
