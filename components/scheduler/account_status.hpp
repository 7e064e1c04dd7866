#ifndef COMPONENTS_SCHEDULER_ACCOUNT_STATUS_HPP
#define COMPONENTS_SCHEDULER_ACCOUNT_STATUS_HPP

#include "components/fleet/identifiers.hpp"
#include "components/fleet/resources.hpp"

namespace scheduler
{

/// Resources and jobs of one account in the zone at present.
struct AccountStatus
{
    fleet::AccountId m_account;
    /// Sum of the account's guaranteed shapes in the zone.
    fleet::Resources m_guaranteed;
    /// Guaranteed shapes that have no slot on workers, because too little capacity is usable.
    int m_unplacedShapes = 0;
    /// Allocated in total; the part that guarantees cover; the part that other accounts may reclaim.
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
