#ifndef COMPONENTS_SCHEDULER_STATE_HPP
#define COMPONENTS_SCHEDULER_STATE_HPP

#include "components/estimates/run_times.hpp"
#include "components/fleet/identifiers.hpp"
#include "components/guarantees/slots.hpp"
#include "components/health/records.hpp"
#include "components/placement/pool.hpp"
#include "components/scheduler/group.hpp"
#include "components/scheduler/group_key.hpp"
#include "components/scheduler/job.hpp"
#include "components/scheduler/reservation.hpp"
#include "components/scheduler/settings.hpp"
#include "components/scheduler/waiting_job.hpp"
#include "components/scheduler/worker.hpp"
#include "components/scheduler/zone_account.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <vector>

namespace scheduler
{

/// Complete state of one zone's scheduler. Copyable and comparable; only step() changes it.
struct State
{
    Settings m_settings;

    /// False until an event StartsAllowed sets it.
    bool m_startsAllowed = false;
    /// Starts were allowed at least once, which means that the leases of an earlier holder have been read from the workers.
    bool m_isRecoveryComplete = false;
    std::map<fleet::AccountId, ZoneAccount> m_accounts;

    /// Capacity minus the allocations of attempts.
    placement::Pool m_pool;
    guarantees::Slots m_guarantees;
    /// Some slot is not placed, or may be on unusable workers.
    bool m_isSlotRepairDue = false;
    /// Some gang that runs outside its account's slots may fit into one.
    bool m_isCoverageCheckDue = false;
    std::vector<Worker> m_workers;
    std::map<fleet::WorkerId, int> m_workerIndex;
    std::map<fleet::RackId, int> m_rackIndex;
    /// Incremented when the fleet's capacity changes or a removed worker is no longer expected back.
    std::uint64_t m_fleetVersion = 1;
    fleet::TimePoint m_fleetChangedAt;
    health::Records m_health;

    std::map<fleet::JobId, Job> m_jobs;
    /// Jobs with an attempt.
    std::set<fleet::JobId> m_active;
    /// Jobs without an attempt, in order of submission.
    std::set<WaitingJob> m_waiting;
    /// The same jobs without those in their retry delay, grouped by account, kind, urgency and shape.
    std::map<GroupKey, Group> m_groups;
    /// Groups that got a new job since the last pass over the queue.
    std::set<GroupKey> m_changedGroups;
    /// Jobs in their retry delay; here `m_submittedAt` is the end of the delay.
    std::set<WaitingJob> m_delayed;
    /// Jobs with a claiming attempt, which waits for preempted gangs to end.
    std::set<fleet::JobId> m_claims;
    std::vector<Reservation> m_reservations;
    fleet::TimePoint m_repackedAt;
    /// Shapes that did not fit when last tried; cleared when capacity is freed.
    std::vector<fleet::Shape> m_blockedShapes;
    /// Groups for which no preemption plan was found since the last tick.
    std::vector<GroupKey> m_blockedReclaims;
    /// Allocations of the attempts of each account.
    std::map<fleet::AccountId, fleet::Resources> m_usage;
    /// Urgent starts of the last hour by account, oldest first.
    std::map<fleet::AccountId, std::vector<fleet::TimePoint>> m_urgentStarts;
    estimates::RunTimes m_runTimes;
    /// Jobs that ended, and when.
    std::map<fleet::JobId, fleet::TimePoint> m_ended;
    /// Jobs whose cancellation arrived before the job, and when.
    std::map<fleet::JobId, fleet::TimePoint> m_cancelledEarly;

    /// Something changed that may allow a waiting job to start.
    bool m_isDirty = false;
    /// Capacity was freed since the blocked shapes were found.
    bool m_isFreed = false;

    bool operator==(const State &) const = default;
};

}

#endif
