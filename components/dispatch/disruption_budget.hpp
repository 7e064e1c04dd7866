#ifndef COMPONENTS_DISPATCH_DISRUPTION_BUDGET_HPP
#define COMPONENTS_DISPATCH_DISRUPTION_BUDGET_HPP

#include "components/jobs/run_id.hpp"
#include "components/jobs/step_id.hpp"

#include <cstdint>
#include <map>

namespace dispatch
{

struct Context;

/// Number of unavailable tasks by long-running step, including tasks that are to be stopped.
using UnavailableTasks = std::map<jobs::StepId, std::int32_t>;

/// True if one more task of the run's step may become unavailable; the task is then counted in `unavailable`.
bool useDisruptionBudget(const Context &context, const jobs::RunId &run, UnavailableTasks &unavailable);

}

#endif
