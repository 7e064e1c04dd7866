#ifndef COMPONENTS_EXPERIMENT_ARRIVALS_HPP
#define COMPONENTS_EXPERIMENT_ARRIVALS_HPP

#include "components/fleet/time.hpp"

#include <cstddef>

namespace experiment
{

struct RunState;

/// Sends the job to a zone, now or, where every zone that may take it is out, later.
void submitJob(RunState &run, std::size_t index, fleet::TimePoint now);

/// Cancels the job in the zone that has it.
void cancelJob(RunState &run, std::size_t index, fleet::TimePoint now);

}

#endif
