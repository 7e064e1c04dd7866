#ifndef COMPONENTS_SCHEDULER_ZONE_ACCOUNT_HPP
#define COMPONENTS_SCHEDULER_ZONE_ACCOUNT_HPP

#include "components/fleet/identifiers.hpp"
#include "components/fleet/resources.hpp"
#include "components/fleet/shape.hpp"

#include <vector>

namespace scheduler
{

/// Guarantees, quota and budget of one client account in one availability zone, with defaults, exceptions and pinning
/// applied.
struct ZoneAccount
{
    fleet::AccountId m_account;
    /// Guaranteed shapes pinned to this zone, each repeated by its count.
    std::vector<fleet::Shape> m_guarantees;
    fleet::Resources m_quota;
    int m_urgentPerHour = 0;
    double m_weight = 1.0;

    bool operator==(const ZoneAccount &) const = default;
};

}

#endif
