#ifndef COMPONENTS_CONFIGURATION_IDENTIFIERS_HPP
#define COMPONENTS_CONFIGURATION_IDENTIFIERS_HPP

#include "components/fleet/identifier.hpp"

namespace configuration
{

/// Unique id of a change; an append that is repeated because its answer was lost carries the same id.
using ChangeId = fleet::Identifier<struct ChangeTag>;

using ExceptionId = fleet::Identifier<struct ExceptionTag>;

}

#endif
