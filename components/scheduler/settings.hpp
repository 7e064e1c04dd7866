#ifndef COMPONENTS_SCHEDULER_SETTINGS_HPP
#define COMPONENTS_SCHEDULER_SETTINGS_HPP

#include "components/fleet/time.hpp"
#include "components/scheduler/policy.hpp"

namespace scheduler
{

/// Settings of one zone's scheduler. Instances of one site use the same values.
struct Settings
{
    Policy m_policy = Policy::Guaranteed;

    /// A worker ends a task this long after the last Reserve, Start or Renew it received.
    fleet::Duration m_leaseLength {10'000};
    fleet::Duration m_renewInterval {3'000};
    /// Added to the lease length before a silent lease counts as lapsed: longest delivery time of a command plus clock drift.
    fleet::Duration m_lapseMargin {3'000};
    /// A Reserve or Start that some worker of the gang has not confirmed within this time is given up. Shorter than the lease.
    fleet::Duration m_answerTimeout {4'000};
    /// Bounds of the exponential wait before a job is placed again after a refusal or a loss.
    fleet::Duration m_retryBase {1'000};
    fleet::Duration m_retryMax {30'000};
    /// A job that failed this often has failed for good.
    int m_maxFailures = 3;
    /// Ended jobs are remembered this long, so that a late repeat of a job's arrival does not run it again.
    fleet::Duration m_endedRetention {3'600'000};

    bool operator==(const Settings &) const = default;
};

}

#endif
