#ifndef COMPONENTS_DISPATCH_WORKER_SPEED_HPP
#define COMPONENTS_DISPATCH_WORKER_SPEED_HPP

#include "components/dispatch/speed_preference.hpp"
#include "components/fleet/time.hpp"

namespace catalog
{
struct Queue;
}

namespace jobs
{
struct StepSpec;
}

namespace run_times
{
struct WorkerSpeed;
}

namespace dispatch
{

/// Class of a worker whose speed is not known.
constexpr int unknownSpeedClass = 1;

/// Returns the class of a worker by its learned run time relative to the usual worker: 0 for a usual worker, higher even numbers for
/// slower ones, lower ones for faster ones, and unknownSpeedClass if too little is known. Workers of one class count as equally fast,
/// so that placement still keeps large free shapes together.
int speedClass(const run_times::WorkerSpeed &speed);

/// Returns the preference of a step that has to be done at `objective`. Steps without an estimate, and steps that do not end, have none.
SpeedPreference speedPreference(const jobs::StepSpec &step, fleet::TimePoint objective, fleet::TimePoint now);

/// Sort key of a worker for a step; lower values come first.
int speedOrder(SpeedPreference preference, int speedClass);

}

#endif
