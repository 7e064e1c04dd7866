#ifndef COMPONENTS_DISPATCH_SURROUNDINGS_HPP
#define COMPONENTS_DISPATCH_SURROUNDINGS_HPP

#include "components/fleet/identifiers.hpp"

#include <map>
#include <set>
#include <string>

namespace catalog
{
struct Catalog;
struct UpkeepWave;
}

namespace journal
{
struct JournalState;
}

namespace dispatch
{

/// What surrounds every decision of the holder. The ledger takes in the holder's own records as they are made, before
/// they are stored.
struct Surroundings
{
    journal::JournalState &m_ledger;
    const catalog::Catalog &m_catalog;
    const std::set<fleet::ZoneId> &m_zonesOut;
    /// Waves of upkeep that the operators ask for, by their keys.
    const std::map<std::string, catalog::UpkeepWave> &m_waves;
};

}

#endif
