#ifndef COMPONENTS_INSTANCE_CONFIGURATION_CALLS_HPP
#define COMPONENTS_INSTANCE_CONFIGURATION_CALLS_HPP

#include "components/api/operator_calls.hpp"
#include "components/configuration/change_result.hpp"
#include "components/fleet/time.hpp"
#include "components/requests/waiter.hpp"

namespace instance
{

struct Core;

void showConfiguration(Core &core, requests::WaiterId waiter, fleet::TimePoint now);

/// Checks the change and sends it to the log. The operator is answered when it has been folded.
void changeConfiguration(Core &core, requests::WaiterId waiter, const api::ChangeConfiguration &call, fleet::TimePoint now);

/// Answers the operator who waits for this change, if it was made here.
void onChangeResult(Core &core, const configuration::ChangeResult &result);

/// Answers operators whose change was not folded in time.
void expireChanges(Core &core, fleet::TimePoint now);

}

#endif
