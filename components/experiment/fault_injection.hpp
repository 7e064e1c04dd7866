#ifndef COMPONENTS_EXPERIMENT_FAULT_INJECTION_HPP
#define COMPONENTS_EXPERIMENT_FAULT_INJECTION_HPP

#include "components/experiment/fault.hpp"

namespace experiment
{

struct RunState;

/// Starts the fault at `now` and schedules its end.
void inject(RunState &run, const Fault &fault, fleet::TimePoint now);

}

#endif
