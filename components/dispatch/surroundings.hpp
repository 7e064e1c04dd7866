#ifndef COMPONENTS_DISPATCH_SURROUNDINGS_HPP
#define COMPONENTS_DISPATCH_SURROUNDINGS_HPP

#include "components/fleet/identifiers.hpp"

#include <set>

namespace catalog
{
struct Catalog;
}

namespace journal
{
struct Ledger;
}

namespace dispatch
{

/// What surrounds every decision of the holder. The ledger takes in the holder's own records as they are made, before
/// they are stored.
struct Surroundings
{
    journal::Ledger &m_ledger;
    const catalog::Catalog &m_catalog;
    const std::set<fleet::ZoneId> &m_zonesOut;
};

}

#endif
