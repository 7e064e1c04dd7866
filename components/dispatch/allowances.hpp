#ifndef COMPONENTS_DISPATCH_ALLOWANCES_HPP
#define COMPONENTS_DISPATCH_ALLOWANCES_HPP

#include "components/jobs/run_id.hpp"
#include "components/jobs/step_id.hpp"

#include <cstdint>
#include <map>

namespace dispatch
{

struct Context;

/// Tasks of lasting steps that are away, with those that are to be stopped.
using Away = std::map<jobs::StepId, std::int32_t>;

/// True where one more task of the run's step may be kept from work; it is counted as away then.
bool takeAllowance(const Context &context, const jobs::RunId &run, Away &away);

}

#endif
