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

/// What each account is entitled to in one availability zone at `now`: defaults, then exceptions in force, with each
/// guaranteed shape pinned to the first of its zones that is not out.
std::vector<scheduler::ZoneAccount> resolve(const Configuration &configuration, const fleet::ZoneId &zone, fleet::TimePoint now);

/// The exceptions in force at `now`, in the order they were put.
std::vector<Exception> exceptionsInForce(const Configuration &configuration, fleet::TimePoint now);

}

#endif
