#ifndef COMPONENTS_SCHEDULER_SETTINGS_HPP
#define COMPONENTS_SCHEDULER_SETTINGS_HPP

#include "components/fleet/time.hpp"
#include "components/health/settings.hpp"
#include "components/scheduler/policy.hpp"

namespace scheduler
{

/// Settings of one zone's scheduler. Instances of one site use the same values.
struct Settings
{
    Policy m_policy = Policy::Guaranteed;

    /// A worker ends a task this long after the last Reserve, Start or Renew it received.
    fleet::Duration m_leaseLength {30'000};
    fleet::Duration m_renewInterval {5'000};
    /// Added to the lease length before a lease without reports counts as expired: longest delivery time of a command plus
    /// clock drift.
    fleet::Duration m_leaseExpiryMargin {3'000};
    /// The attempt ends if a worker of the gang has not confirmed Reserve or Start within this time. Shorter than the lease.
    fleet::Duration m_answerTimeout {4'000};
    /// Bounds of the exponential backoff before a job is placed again after a refused, lost or failed attempt.
    fleet::Duration m_retryBase {1'000};
    fleet::Duration m_retryMax {30'000};
    /// A worker that refused a task gets no new tasks for this long.
    fleet::Duration m_refusalBackoff {5'000};
    /// A preempted gang is stopped this long after the request for a checkpoint, whether it wrote one or not.
    fleet::Duration m_checkpointGrace {2'000};
    /// Interval of checkpoints of running gangs that can resume; 0 requests one only when a gang is preempted.
    fleet::Duration m_checkpointInterval {600'000};
    /// Run time lost by stopping and restarting a gang, in addition to the part that no checkpoint covers.
    fleet::Duration m_restartCost {5'000};

    /// Maximum number of jobs with a reservation at the same time.
    int m_maxReservations = 4;
    /// Gangs that are older than the reservation are not preempted for it until this long after it is due,
    /// unless the job has waited `m_reservationMaxWait`.
    fleet::Duration m_reservationGracePeriod {120'000};
    /// A reserved job that has waited this long preempts gangs that can checkpoint, even before its reservation is due.
    fleet::Duration m_reservationMaxWait {1'800'000};
    /// Other gangs are moved for a reserved job only if the accelerator time gained exceeds this many times the work lost.
    double m_repackGain = 4.0;
    /// A gang is not moved before it has run this long.
    fleet::Duration m_repackMinRunTime {300'000};
    fleet::Duration m_repackInterval {10'000};
    /// Background work that has waited this long counts as normal work.
    fleet::Duration m_backgroundAging {3'600'000};
    /// Jobs are checked against the fleet's size only after the worker list has not grown for this long.
    fleet::Duration m_fleetSettleTime {10'000};
    /// A removed worker counts as capacity for this long, as it is expected to be replaced; no job is refused in this time
    /// because the worker is missing.
    fleet::Duration m_replacementTime {3'600'000};
    health::Settings m_health;

    /// Ended jobs are kept this long, so that a late repeat of a job's arrival does not run it again.
    fleet::Duration m_endedRetention {3'600'000};

    bool operator==(const Settings &) const = default;
};

}

#endif
