#ifndef COMPONENTS_NODE_OPERATOR_CONFIG_VIEW_HPP
#define COMPONENTS_NODE_OPERATOR_CONFIG_VIEW_HPP

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
    /// Offset of the next read; empty while everything has to be read again.
    std::optional<std::uint64_t> m_nextOffset;
    /// Everything that was set before this time is in the view. This is when the read was sent, since its answer may have been
    /// delayed.
    std::optional<fleet::BootTime> m_asOf;
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

/// Returns the age of the view; the longest possible duration before the first read.
fleet::Duration viewAge(const OperatorConfigView &view, fleet::BootTime now);

}

#endif
