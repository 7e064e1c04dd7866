#ifndef COMPONENTS_DISPATCH_DISRUPTION_BUDGET_HPP
#define COMPONENTS_DISPATCH_DISRUPTION_BUDGET_HPP

#include "components/jobs/run_id.hpp"
#include "components/jobs/step_id.hpp"

#include <cstdint>
#include <map>

namespace dispatch
{

struct Context;

/// Tasks of lasting steps that are away, with those that are to be stopped.
using UnavailableTasks = std::map<jobs::StepId, std::int32_t>;

/// True where one more task of the run's step may be kept from work; it is counted as away then.
bool useDisruptionBudget(const Context &context, const jobs::RunId &run, UnavailableTasks &unavailable);

}

#endif
