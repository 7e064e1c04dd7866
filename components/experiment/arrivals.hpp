#ifndef COMPONENTS_EXPERIMENT_ARRIVALS_HPP
#define COMPONENTS_EXPERIMENT_ARRIVALS_HPP

#include "components/fleet/time.hpp"

#include <cstddef>

namespace experiment
{

struct RunState;

/// Sends the job to a zone. Tries again later if every zone that may run it is out.
void submitJob(RunState &run, std::size_t index, fleet::TimePoint now);

/// Requests the job's cancellation in the zone that it was sent to. Does nothing if it has ended or was not sent yet.
void cancelJob(RunState &run, std::size_t index, fleet::TimePoint now);

}

#endif
