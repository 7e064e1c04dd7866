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
    /// Added to the lease length before a silent lease counts as lapsed: longest delivery time of a command plus clock drift.
    fleet::Duration m_leaseExpiryMargin {3'000};
    /// A Reserve or Start that some worker of the gang has not confirmed within this time is given up. Shorter than the lease.
    fleet::Duration m_answerTimeout {4'000};
    /// Bounds of the exponential wait before a job is placed again after a refusal or a loss.
    fleet::Duration m_retryBase {1'000};
    fleet::Duration m_retryMax {30'000};
    /// A worker that refused a task is not used for this long.
    fleet::Duration m_refusalBackoff {5'000};
    /// A gang that makes room is stopped this long after it was asked for a checkpoint, whether it wrote one or not.
    fleet::Duration m_checkpointGrace {2'000};
    /// Running gangs that can resume are asked for a checkpoint this often; 0 for only when they make room.
    fleet::Duration m_checkpointInterval {600'000};
    /// Run time lost by stopping and starting a gang, beyond what no checkpoint covers.
    fleet::Duration m_restartCost {5'000};

    /// Jobs that hold a reservation at once.
    int m_maxReservations = 4;
    /// How long past its due time a reservation waits for gangs that were there before it, until they make room.
    fleet::Duration m_reservationGracePeriod {120'000};
    /// A reserved job that has waited this long displaces gangs that can checkpoint, also before its due time.
    fleet::Duration m_reservationMaxWait {1'800'000};
    /// A reserved job starts earlier by moving other gangs where it gains this many times the work lost.
    double m_repackGain = 4.0;
    /// A gang is not moved again before it has run this long.
    fleet::Duration m_repackMinRunTime {300'000};
    fleet::Duration m_repackInterval {10'000};
    /// Background work that has waited this long counts as normal work.
    fleet::Duration m_backgroundAging {3'600'000};
    /// Jobs are not judged against the size of the fleet before its list has not grown for this long.
    fleet::Duration m_fleetSettleTime {10'000};
    /// A removed worker is expected to be replaced for this long; jobs are not refused for want of it.
    fleet::Duration m_replacementTime {3'600'000};
    health::Settings m_health;

    /// Ended jobs are remembered this long, so that a late repeat of a job's arrival does not run it again.
    fleet::Duration m_endedRetention {3'600'000};

    bool operator==(const Settings &) const = default;
};

}

#endif
