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

/// True where the zone is out by the log or provisionally.
bool isZoneOut(const Core &core, const fleet::ZoneId &zone);

/// Whether a task may start in this instance's zone.
zones::StartPermission startPermission(const Core &core, fleet::TimePoint now);

/// Tells every slice that depends on it what the configuration is now.
void onConfigurationChanged(Core &core, fleet::TimePoint now);

/// The configuration stream was read to its end: tells every slice that depends on the configuration.
void onConfigurationRead(Core &core, fleet::TimePoint now);

/// Tells the request slice which zones are closed and what each account may use.
void updateRequestPolicies(Core &core, fleet::TimePoint now);

/// Takes the zone out here and spreads the news, for the log does not take the change. The operator is answered with how
/// far the news has come.
void takeOutProvisionally(Core &core, requests::WaiterId waiter, const configuration::Change &change, fleet::TimePoint now);

/// Sends provisional take-outs to the log once it can be reached.
void recordTakeOuts(Core &core, fleet::TimePoint now);

}

#endif
