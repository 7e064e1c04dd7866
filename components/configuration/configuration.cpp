#include "components/configuration/configuration.hpp"

#include <algorithm>

namespace configuration
{

bool Configuration::isZoneOut(const fleet::ZoneId &zone) const
{
    return std::any_of(m_zonesOut.begin(), m_zonesOut.end(), [&](const ZoneOut &out) {
        return out.m_zone == zone;
    });
}

const Account *Configuration::findAccount(const fleet::AccountId &account) const
{
    const auto found = std::find_if(m_accounts.begin(), m_accounts.end(), [&](const Account &candidate) {
        return candidate.m_id == account;
    });
    return found == m_accounts.end() ? nullptr : &*found;
}

const ChangeResult *Configuration::findResult(const ChangeId &change) const
{
    const auto found = std::find_if(m_results.rbegin(), m_results.rend(), [&](const ChangeResult &result) {
        return result.m_id == change;
    });
    return found == m_results.rend() ? nullptr : &*found;
}

}
