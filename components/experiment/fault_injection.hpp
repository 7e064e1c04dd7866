#ifndef COMPONENTS_EXPERIMENT_FAULT_INJECTION_HPP
#define COMPONENTS_EXPERIMENT_FAULT_INJECTION_HPP

#include "components/experiment/fault.hpp"

namespace experiment
{

struct RunState;

/// Brings the fault into force at `now` and sees to its end.
void inject(RunState &run, const Fault &fault, fleet::TimePoint now);

}

#endif
