#ifndef COMPONENTS_CONFIGURATION_RESOLVE_HPP
#define COMPONENTS_CONFIGURATION_RESOLVE_HPP

#include "components/fleet/identifiers.hpp"
#include "components/fleet/time.hpp"
#include "components/scheduler/zone_account.hpp"

#include <vector>

namespace configuration
{

struct Configuration;
struct Exception;

/// Returns each account's entitlement in one availability zone at `now`: the defaults, overridden by the exceptions in
/// force, and the guaranteed shapes that belong to the zone. A shape belongs to the first of its zones that is not
/// taken out.
std::vector<scheduler::ZoneAccount> resolve(const Configuration &configuration, const fleet::ZoneId &zone, fleet::TimePoint now);

/// Returns the exceptions in force at `now`, in the order in which they were put.
std::vector<Exception> exceptionsInForce(const Configuration &configuration, fleet::TimePoint now);

}

#endif
