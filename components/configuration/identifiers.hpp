#ifndef COMPONENTS_CONFIGURATION_IDENTIFIERS_HPP
#define COMPONENTS_CONFIGURATION_IDENTIFIERS_HPP

#include "components/fleet/identifier.hpp"

namespace configuration
{

/// Unique name of one change; an append repeated because its answer was lost carries the same one.
using ChangeId = fleet::Identifier<struct ChangeTag>;

using ExceptionId = fleet::Identifier<struct ExceptionTag>;

}

#endif
