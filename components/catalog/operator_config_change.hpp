#ifndef COMPONENTS_CATALOG_OPERATOR_CONFIG_CHANGE_HPP
#define COMPONENTS_CATALOG_OPERATOR_CONFIG_CHANGE_HPP

#include "components/catalog/catalog.hpp"
#include "components/catalog/wave_change.hpp"
#include "components/catalog/zone_change.hpp"

#include <variant>

namespace catalog
{

/// One change that the operators made.
using OperatorConfigChange = std::variant<Catalog, ZoneChange, WaveChange>;

}

#endif
