#ifndef COMPONENTS_DISPATCH_AVAILABLE_WORKERS_HPP
#define COMPONENTS_DISPATCH_AVAILABLE_WORKERS_HPP

#include "components/dispatch/available_worker.hpp"

#include <cstdint>

namespace dispatch
{

struct Candidate;
struct Context;

/// Every worker that new runs may be given to.
AvailableWorkers findAvailableWorkers(Context &context);

/// True where the worker has what the step asks for, room and advice aside.
bool isSuitable(const Candidate &candidate, const WorkerState &worker);

/// The same, and the worker may run the step as far as advice is asked for.
bool mayRun(const Candidate &candidate, const WorkerState &worker);

/// What the room has for the candidate beside what is reserved for other steps.
fleet::Resources freeResourcesFor(const Candidate &candidate, const AvailableWorker &available);

/// Workers of which something is kept for a step.
std::size_t countReservedWorkers(const AvailableWorkers &availableWorkers);

/// Tasks of the candidate that the worker can take with `free`.
std::uint32_t countSlots(const Candidate &candidate, const AvailableWorker &available, const fleet::Resources &free);

}

#endif
