#ifndef COMPONENTS_NODE_OPERATOR_VIEW_HPP
#define COMPONENTS_NODE_OPERATOR_VIEW_HPP

#include "components/catalog/catalog.hpp"
#include "components/catalog/operator_config_read.hpp"
#include "components/catalog/upkeep_wave.hpp"
#include "components/fleet/boot_time.hpp"
#include "components/fleet/identifiers.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace node
{

/// What the instance knows of what the operators set.
struct OperatorView
{
    catalog::Catalog m_catalog;
    std::set<fleet::ZoneId> m_zonesOut;
    std::map<std::string, catalog::UpkeepWave> m_waves;
    /// Where to read on; nothing while everything has to be read anew.
    std::optional<std::uint64_t> m_next;
    /// Everything that was set before this time is in the view. Counted from when the read was sent, since the answer
    /// may have been under way for long.
    std::optional<fleet::BootTime> m_asOf;
    std::optional<fleet::BootTime> m_readSentAt;
    fleet::BootTime m_nextReadAt;

    bool hasCatalog() const
    {
        return m_catalog.m_version > 0;
    }
};

/// Takes in a read that was sent at `sentAt`. Returns true where the catalog or the zones out changed.
bool takeOperatorsRead(OperatorView &view, const catalog::OperatorConfigRead &read, fleet::BootTime sentAt);

/// Age of the view; a very long time where nothing was read yet.
fleet::Duration ageOf(const OperatorView &view, fleet::BootTime now);

}

#endif
