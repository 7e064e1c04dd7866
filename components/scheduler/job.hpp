#ifndef COMPONENTS_SCHEDULER_JOB_HPP
#define COMPONENTS_SCHEDULER_JOB_HPP

#include "components/fleet/job_spec.hpp"
#include "components/scheduler/attempt.hpp"
#include "components/scheduler/job_outcome.hpp"

#include <optional>

namespace scheduler
{

/// A job that has not ended.
struct Job
{
    fleet::JobSpec m_spec;
    /// Number of the last attempt made.
    int m_attempts = 0;
    /// Number of the last attempt that is known to be over.
    int m_endedAttempt = 0;
    fleet::Duration m_checkpointed {0};
    std::optional<Attempt> m_attempt;
    /// The job is not placed again before this time.
    fleet::TimePoint m_notBefore;
    /// Attempts in a row that were refused or lost.
    int m_consecutiveFailures = 0;
    /// Set once the job was found bad: how it ends when its attempt is over.
    std::optional<JobOutcome> m_pendingOutcome;
    /// An urgent start was taken from the account's budget for it.
    bool m_isUrgentStartCounted = false;

    bool operator==(const Job &) const = default;
};

}

#endif
