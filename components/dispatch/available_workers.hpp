#ifndef COMPONENTS_DISPATCH_AVAILABLE_WORKERS_HPP
#define COMPONENTS_DISPATCH_AVAILABLE_WORKERS_HPP

#include "components/dispatch/available_worker.hpp"

#include "components/fleet/boot_time.hpp"

#include <cstdint>

namespace dispatch
{

struct Candidate;
struct Context;

/// Returns every worker that new runs may be placed on.
AvailableWorkers findAvailableWorkers(Context &context);

/// True if the worker is listed, and the operators and the worker itself leave it in use.
bool isInService(const Context &context, const WorkerState &worker);

/// True if the worker meets the requirements of the step, apart from free capacity and advice.
bool isSuitable(const Candidate &candidate, const WorkerState &worker, fleet::BootTime now);

/// True if the worker is suitable and, if the queue requires advice, has a ticket for the step.
bool mayRun(const Candidate &candidate, const WorkerState &worker, fleet::BootTime now);

/// Returns the free capacity of the worker without what is reserved for other steps of the same or a lower rank. A candidate that should be
/// done before a reservation is met may use that too.
fleet::Resources freeResourcesFor(const Candidate &candidate, const AvailableWorker &available);

/// Number of reservations whose capacity the candidate may use.
std::size_t countUsableReservations(const Context &context, const Candidate &candidate);

/// Number of workers with a reservation.
std::size_t countReservedWorkers(const AvailableWorkers &availableWorkers);

/// Returns how many tasks of the candidate fit into `free` on the worker, within the limits on probation and on tasks per worker.
std::uint32_t countSlots(const Candidate &candidate, const AvailableWorker &available, const fleet::Resources &free);

/// The same for any worker, without the limit on probation.
std::uint32_t countSlots(const Candidate &candidate, const WorkerState &worker, const fleet::Resources &free);

}

#endif
