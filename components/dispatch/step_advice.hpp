#ifndef COMPONENTS_DISPATCH_STEP_ADVICE_HPP
#define COMPONENTS_DISPATCH_STEP_ADVICE_HPP

#include "components/dispatch/worker_advice.hpp"
#include "components/fleet/identifiers.hpp"

#include <map>

namespace dispatch
{

/// Advice on the workers for one step.
using StepAdvice = std::map<fleet::WorkerId, WorkerAdvice>;

}

#endif
