#ifndef COMPONENTS_SCHEDULER_STATUS_HPP
#define COMPONENTS_SCHEDULER_STATUS_HPP

#include "components/scheduler/account_status.hpp"
#include "components/scheduler/fragmentation.hpp"
#include "components/scheduler/state.hpp"

#include <string>
#include <vector>

namespace scheduler
{

/// Says in one sentence where the job stands and, while it waits, why.
std::string explain(const State &state, const fleet::JobId &job, fleet::TimePoint now);

/// Every configured account, in order of name.
std::vector<AccountStatus> accountStatuses(const State &state, fleet::TimePoint now);

Fragmentation fragmentation(const State &state);

}

#endif
