#ifndef COMPONENTS_NODE_OPERATOR_CONFIG_VIEW_HPP
#define COMPONENTS_NODE_OPERATOR_CONFIG_VIEW_HPP

#include "components/catalog/catalog.hpp"
#include "components/catalog/operator_config_read.hpp"
#include "components/catalog/upkeep_wave.hpp"
#include "components/fleet/boot_time.hpp"
#include "components/fleet/identifiers.hpp"
#include "components/store/keyed_position.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace node
{

/// Accounts of a catalog that was replaced, and when the read that replaced it was sent.
struct ReplacedAccounts
{
    std::vector<catalog::Account> m_accounts;
    fleet::BootTime m_replacedAt;
};

/// The instance's copy of what the operators set: the catalog, the zones taken out of service and the upkeep waves.
struct OperatorConfigView
{
    catalog::Catalog m_catalog;
    /// Accounts of the catalogs that were replaced of late.
    std::vector<ReplacedAccounts> m_replacedAccounts;
    std::set<fleet::ZoneId> m_zonesOut;
    std::map<std::string, catalog::UpkeepWave> m_waves;
    store::KeyedPosition m_position;
    /// When the latest full read replaced a catalog; those between the two have not been seen.
    std::optional<fleet::BootTime> m_skippedCatalogsAt;
    std::optional<fleet::BootTime> m_readSentAt;
    fleet::BootTime m_nextReadAt;
    /// The latest read failed, so the next one should not wait for a change before it confirms the view.
    bool m_hasFailedRead = false;

    bool hasCatalog() const
    {
        return m_catalog.m_version > 0;
    }
};

/// Applies a read that was sent at `sentAt`. Returns true if the catalog or the zones out of service changed.
bool applyOperatorsRead(OperatorConfigView &view, const catalog::OperatorConfigRead &read, fleet::BootTime sentAt);

/// Everything that was set before this time is in the view. It is when a read was sent, since its answer may have been delayed.
std::optional<fleet::BootTime> asOf(const OperatorConfigView &view);

/// Returns the age of the view; the longest possible duration while it is not known to be complete as of any time.
fleet::Duration viewAge(const OperatorConfigView &view, fleet::BootTime now);

}

#endif
