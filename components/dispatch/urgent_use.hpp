#ifndef COMPONENTS_DISPATCH_URGENT_USE_HPP
#define COMPONENTS_DISPATCH_URGENT_USE_HPP

#include "components/fleet/identifiers.hpp"

#include <cstdint>
#include <map>

namespace dispatch
{

/// Accelerators in use by jobs of priority 0, by account.
using UrgentUse = std::map<fleet::AccountId, std::int64_t>;

}

#endif
