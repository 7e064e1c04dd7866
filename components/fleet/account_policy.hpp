#ifndef COMPONENTS_FLEET_ACCOUNT_POLICY_HPP
#define COMPONENTS_FLEET_ACCOUNT_POLICY_HPP

#include "components/fleet/guaranteed_shape.hpp"
#include "components/fleet/identifiers.hpp"
#include "components/fleet/resources.hpp"

#include <vector>

namespace fleet
{

/// What one client account is entitled to after defaults and exceptions are applied.
struct AccountPolicy
{
    AccountId m_account;
    std::vector<GuaranteedShape> m_guarantees;
    /// Upper bound on what the account may use at once over one availability zone, borrowed capacity included.
    Resources m_quota;
    /// Urgent starts, of jobs and requests alike, that the account may make in an hour; further ones queue as normal work.
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
