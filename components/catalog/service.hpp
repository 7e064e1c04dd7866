#ifndef COMPONENTS_CATALOG_SERVICE_HPP
#define COMPONENTS_CATALOG_SERVICE_HPP

#include "components/fleet/identifiers.hpp"

namespace catalog
{

/// A pool of workers.
struct Service
{
    fleet::ServiceId m_id;
    /// True if the workers refuse a start for which they lack capacity; otherwise they must never receive such a start.
    bool m_rejectsOverload = false;
    /// True if the machines of the pool are off until they are moved to another pool.
    bool m_isSpare = false;

    bool operator==(const Service &) const = default;
};

}

#endif
