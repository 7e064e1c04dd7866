#ifndef COMPONENTS_DISPATCH_ENVIRONMENT_HPP
#define COMPONENTS_DISPATCH_ENVIRONMENT_HPP

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

/// Data outside the scheduler's state that every decision uses. The holder's own records are applied to m_journalState as they
/// are made, before they are stored.
struct Environment
{
    journal::JournalState &m_journalState;
    const catalog::Catalog &m_catalog;
    const std::set<fleet::ZoneId> &m_zonesOut;
    /// Upkeep waves that the operators requested, by key.
    const std::map<std::string, catalog::UpkeepWave> &m_waves;
};

}

#endif
