#ifndef COMPONENTS_CATALOG_ZONE_CHANGE_HPP
#define COMPONENTS_CATALOG_ZONE_CHANGE_HPP

#include "components/fleet/identifiers.hpp"

namespace catalog
{

/// An availability zone was taken out of service or returned to service.
struct ZoneChange
{
    fleet::ZoneId m_zone;
    bool m_isOutOfService = false;

    bool operator==(const ZoneChange &) const = default;
};

}

#endif
