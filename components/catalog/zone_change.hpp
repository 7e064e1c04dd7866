#ifndef COMPONENTS_CATALOG_ZONE_CHANGE_HPP
#define COMPONENTS_CATALOG_ZONE_CHANGE_HPP

#include "components/fleet/identifiers.hpp"

namespace catalog
{

/// An availability zone is taken out of service, or is back.
struct ZoneChange
{
    fleet::ZoneId m_zone;
    bool m_isOutOfService = false;

    bool operator==(const ZoneChange &) const = default;
};

}

#endif
