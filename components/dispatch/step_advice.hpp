#ifndef COMPONENTS_DISPATCH_STEP_ADVICE_HPP
#define COMPONENTS_DISPATCH_STEP_ADVICE_HPP

#include "components/dispatch/worker_advice.hpp"
#include "components/fleet/identifiers.hpp"

#include <map>

namespace dispatch
{

/// What is known of the workers that may run one step.
using StepAdvice = std::map<fleet::WorkerId, WorkerAdvice>;

}

#endif
