#ifndef COMPONENTS_SCHEDULER_ACCOUNT_STATUS_HPP
#define COMPONENTS_SCHEDULER_ACCOUNT_STATUS_HPP

#include "components/fleet/identifiers.hpp"
#include "components/fleet/resources.hpp"

namespace scheduler
{

/// What one account has in the zone at present.
struct AccountStatus
{
    fleet::AccountId m_account;
    /// All guaranteed shapes of the zone together.
    fleet::Resources m_guaranteed;
    /// Guaranteed shapes that have no place, because workers are missing.
    int m_unplacedShapes = 0;
    /// Booked, of this what guarantees cover, and what may be stopped for other accounts.
    fleet::Resources m_used;
    fleet::Resources m_covered;
    fleet::Resources m_borrowed;
    int m_runningJobs = 0;
    int m_waitingJobs = 0;
    /// Urgent starts left in the present hour.
    int m_urgentLeft = 0;

    bool operator==(const AccountStatus &) const = default;
};

}

#endif
