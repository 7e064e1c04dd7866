#ifndef COMPONENTS_DISPATCH_DEPARTURES_HPP
#define COMPONENTS_DISPATCH_DEPARTURES_HPP

#include "components/fleet/time.hpp"

namespace workers
{
struct Registration;
}

namespace dispatch
{

struct Context;
struct WorkerState;

/// Notes when a worker will shut down, from a registration that has not been applied to its state yet.
void updateDeparture(Context &context, WorkerState &worker, const workers::Registration &registration);

/// Stops the runs on workers that shut down soon. A run that ends with its worker has to be waited for until its lease has expired,
/// and loses what it did since its last checkpoint; a run that is stopped can start elsewhere at once. Runs without checkpoints that
/// cannot be done in time are stopped earlier, since what they still do would be lost.
void stopRunsOnDepartingWorkers(Context &context);

}

#endif
