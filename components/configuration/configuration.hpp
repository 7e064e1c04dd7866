#ifndef COMPONENTS_CONFIGURATION_CONFIGURATION_HPP
#define COMPONENTS_CONFIGURATION_CONFIGURATION_HPP

#include "components/configuration/account.hpp"
#include "components/configuration/change_result.hpp"
#include "components/configuration/defaults.hpp"
#include "components/configuration/exception.hpp"
#include "components/configuration/version.hpp"
#include "components/configuration/zone_out.hpp"

#include <vector>

namespace configuration
{

/// The configuration at one version.
struct Configuration
{
    Version m_version;
    Defaults m_defaults;
    /// Sorted by identifier.
    std::vector<Account> m_accounts;
    /// In the order in which they were put. Ended ones are kept for the reports for `exceptionHistory` after their end.
    std::vector<Exception> m_exceptions;
    /// Sorted by zone.
    std::vector<ZoneOut> m_zonesOut;
    /// Results of the latest changes, accepted and rejected, oldest first; used to answer repeated changes.
    std::vector<ChangeResult> m_results;

    bool operator==(const Configuration &) const = default;

    bool isZoneOut(const fleet::ZoneId &zone) const;
    const Account *findAccount(const fleet::AccountId &account) const;
    /// Returns null if the change has not been applied, or so long ago that its result was removed.
    const ChangeResult *findResult(const ChangeId &change) const;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(m_version, m_defaults, m_accounts, m_exceptions, m_zonesOut, m_results);
    }
};

}

#endif
