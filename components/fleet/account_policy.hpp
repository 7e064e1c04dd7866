#ifndef COMPONENTS_FLEET_ACCOUNT_POLICY_HPP
#define COMPONENTS_FLEET_ACCOUNT_POLICY_HPP

#include "components/fleet/guaranteed_shape.hpp"
#include "components/fleet/identifiers.hpp"
#include "components/fleet/resources.hpp"

#include <vector>

namespace fleet
{

/// Entitlements of one client account after defaults and exceptions are applied.
struct AccountPolicy
{
    AccountId m_account;
    std::vector<GuaranteedShape> m_guarantees;
    /// Maximum that the account may use at the same time in one availability zone, including borrowed capacity.
    Resources m_quota;
    /// Maximum number of urgent starts per hour, jobs and requests together; further ones are queued as normal work.
    int m_urgentPerHour = 0;
    /// Share of spare capacity relative to the other accounts.
    double m_weight = 1.0;

    bool operator==(const AccountPolicy &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(m_account, m_guarantees, m_quota, m_urgentPerHour, m_weight);
    }
};

}

#endif
