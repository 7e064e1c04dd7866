#ifndef COMPONENTS_SCHEDULER_STATE_HPP
#define COMPONENTS_SCHEDULER_STATE_HPP

#include "components/fleet/identifiers.hpp"
#include "components/placement/pool.hpp"
#include "components/scheduler/job.hpp"
#include "components/scheduler/settings.hpp"
#include "components/scheduler/waiting_job.hpp"
#include "components/scheduler/worker.hpp"
#include "components/scheduler/zone_account.hpp"

#include <map>
#include <set>
#include <vector>

namespace scheduler
{

/// Everything that one zone's scheduler knows. Copyable and comparable; changed by step() only.
struct State
{
    Settings m_settings;

    /// Nothing starts until StartsAllowed says so.
    bool m_startsAllowed = false;
    /// Starts were allowed at least once, so that the workers' leases of an earlier holder have been read.
    bool m_isSettled = false;
    std::map<fleet::AccountId, ZoneAccount> m_accounts;

    placement::Pool m_pool;
    std::vector<Worker> m_workers;
    std::map<fleet::WorkerId, int> m_workerIndex;
    std::map<fleet::RackId, int> m_rackIndex;

    std::map<fleet::JobId, Job> m_jobs;
    /// Jobs with an attempt.
    std::set<fleet::JobId> m_active;
    /// Jobs without an attempt, by order of submission.
    std::set<WaitingJob> m_waiting;
    /// Jobs that ended, and when.
    std::map<fleet::JobId, fleet::TimePoint> m_ended;
    /// Jobs whose cancellation came before their arrival, and when.
    std::map<fleet::JobId, fleet::TimePoint> m_cancelledEarly;

    /// Something changed that may let a waiting job start.
    bool m_isDirty = false;

    bool operator==(const State &) const = default;
};

}

#endif
