#ifndef COMPONENTS_CONFIGURATION_APPLY_HPP
#define COMPONENTS_CONFIGURATION_APPLY_HPP

#include "components/configuration/change_result.hpp"

namespace configuration
{

struct Change;
struct Configuration;

/// Applies one change: accepts it and raises the version, or rejects it and leaves everything else as it was.
/// A change that was applied before yields its first result and changes nothing.
ChangeResult apply(Configuration &configuration, const Change &change);

}

#endif
