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

/// Everything that one zone's scheduler knows. Copyable and comparable; changed by step() only.
struct State
{
    Settings m_settings;

    /// Nothing starts until StartsAllowed says so.
    bool m_startsAllowed = false;
    /// Starts were allowed at least once, so that the workers' leases of an earlier holder have been read.
    bool m_isRecoveryComplete = false;
    std::map<fleet::AccountId, ZoneAccount> m_accounts;

    /// Capacity less what attempts have booked.
    placement::Pool m_pool;
    guarantees::Slots m_guarantees;
    /// Some slot has no place, or may be on workers that cannot be used.
    bool m_isSlotRepairDue = false;
    /// Some gang that runs outside its account's slots may be taken into one.
    bool m_isCoverageCheckDue = false;
    std::vector<Worker> m_workers;
    std::map<fleet::WorkerId, int> m_workerIndex;
    std::map<fleet::RackId, int> m_rackIndex;
    /// Rises when the fleet grows.
    std::uint64_t m_fleetVersion = 1;
    fleet::TimePoint m_fleetChangedAt;
    health::Records m_health;

    std::map<fleet::JobId, Job> m_jobs;
    /// Jobs with an attempt.
    std::set<fleet::JobId> m_active;
    /// Jobs without an attempt, by order of submission.
    std::set<WaitingJob> m_waiting;
    /// The same, without those in their retry wait, by what they have in common.
    std::map<GroupKey, Group> m_groups;
    /// Groups that a job joined since the last pass over the queue.
    std::set<GroupKey> m_changedGroups;
    /// Jobs in their retry wait, by its end.
    std::set<WaitingJob> m_delayed;
    /// Attempts that wait for gangs to make room.
    std::set<fleet::JobId> m_claims;
    std::vector<Reservation> m_reservations;
    fleet::TimePoint m_repackedAt;
    /// Shapes that did not fit when last tried, with nothing freed since.
    std::vector<fleet::Shape> m_blockedShapes;
    /// Groups for which no gangs could be stopped to make room, since the last tick.
    std::vector<GroupKey> m_blockedReclaims;
    /// What the attempts of each account have booked.
    std::map<fleet::AccountId, fleet::Resources> m_usage;
    /// Urgent starts of the last hour by account, oldest first.
    std::map<fleet::AccountId, std::vector<fleet::TimePoint>> m_urgentStarts;
    estimates::RunTimes m_runTimes;
    /// Jobs that ended, and when.
    std::map<fleet::JobId, fleet::TimePoint> m_ended;
    /// Jobs whose cancellation came before their arrival, and when.
    std::map<fleet::JobId, fleet::TimePoint> m_cancelledEarly;

    /// Something changed that may let a waiting job start.
    bool m_isDirty = false;
    /// Something was freed since the blocked shapes were found.
    bool m_isFreed = false;

    bool operator==(const State &) const = default;
};

}

#endif
