#ifndef COMPONENTS_CATALOG_SERVICE_HPP
#define COMPONENTS_CATALOG_SERVICE_HPP

#include "components/fleet/identifiers.hpp"

namespace catalog
{

/// A pool of workers.
struct Service
{
    fleet::ServiceId m_id;
    /// The workers refuse a start for which they have no room; else they must never be told to start one.
    bool m_rejectsOverload = false;
    /// The machines of the pool are off until they are moved to another one.
    bool m_isSpare = false;

    bool operator==(const Service &) const = default;
};

}

#endif
