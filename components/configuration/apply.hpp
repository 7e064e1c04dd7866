#ifndef COMPONENTS_CONFIGURATION_APPLY_HPP
#define COMPONENTS_CONFIGURATION_APPLY_HPP

#include "components/configuration/change_result.hpp"

namespace configuration
{

struct Change;
struct Configuration;

/// Applies one change: accepts it and increments the version, or rejects it and stores only the result.
/// A change that was applied before changes nothing and returns its first result.
ChangeResult apply(Configuration &configuration, const Change &change);

}

#endif
