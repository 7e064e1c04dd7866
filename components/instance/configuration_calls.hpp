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

/// Validates the change and appends it to the log. The operator is answered once this instance has read the change back from
/// the log and applied it.
void changeConfiguration(Core &core, requests::WaiterId waiter, const api::ChangeConfiguration &call, fleet::TimePoint now);

/// Answers the operator who waits for this change, if the change was made through this instance.
void onChangeResult(Core &core, const configuration::ChangeResult &result);

/// Answers operators whose change was not applied in time.
void expireChanges(Core &core, fleet::TimePoint now);

}

#endif
