#ifndef COMPONENTS_SCHEDULER_STATUS_HPP
#define COMPONENTS_SCHEDULER_STATUS_HPP

#include "components/scheduler/account_status.hpp"
#include "components/scheduler/fragmentation.hpp"
#include "components/scheduler/state.hpp"

#include <string>
#include <vector>

namespace scheduler
{

/// Describes the job's state in one sentence and, while it waits, the reason.
std::string explain(const State &state, const fleet::JobId &job, fleet::TimePoint now);

/// Returns the status of every configured account, in order of name.
std::vector<AccountStatus> accountStatuses(const State &state, fleet::TimePoint now);

Fragmentation fragmentation(const State &state);

}

#endif
