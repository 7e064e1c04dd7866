#ifndef COMPONENTS_INSTANCE_ZONE_VIEW_HPP
#define COMPONENTS_INSTANCE_ZONE_VIEW_HPP

#include "components/configuration/change.hpp"
#include "components/fleet/identifiers.hpp"
#include "components/fleet/time.hpp"
#include "components/requests/waiter.hpp"
#include "components/zones/start_permission.hpp"

namespace instance
{

struct Core;

/// True if the zone is out of service, by the configuration in the log or provisionally.
bool isZoneOut(const Core &core, const fleet::ZoneId &zone);

/// Returns whether a task may start in this instance's zone.
zones::StartPermission startPermission(const Core &core, fleet::TimePoint now);

/// Passes the current configuration to every component that depends on it.
void onConfigurationChanged(Core &core, fleet::TimePoint now);

/// Handles a read that reached the end of the configuration stream: updates every component that depends on the
/// configuration.
void onConfigurationRead(Core &core, fleet::TimePoint now);

/// Passes the closed zones and the share of each account to the request component.
void updateRequestPolicies(Core &core, fleet::TimePoint now);

/// Takes the zone out of service without the log, which does not accept the change, and sends the take-out to the other
/// instances. The operator's answer says whether the instances of that zone have confirmed it.
void takeOutProvisionally(Core &core, requests::WaiterId waiter, const configuration::Change &change, fleet::TimePoint now);

/// Appends provisional take-outs to the log once it is reachable.
void recordTakeOuts(Core &core, fleet::TimePoint now);

}

#endif
