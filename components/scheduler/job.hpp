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
    /// Number of the last attempt that has ended for certain.
    int m_endedAttempt = 0;
    fleet::Duration m_checkpointed {0};
    std::optional<Attempt> m_attempt;
    /// The job is not placed again before this time.
    fleet::TimePoint m_notBefore;
    /// Attempts in a row that were refused, lost or failed.
    int m_consecutiveFailures = 0;
    /// Set when the job was found to be bad: its outcome once the current attempt is over.
    std::optional<JobOutcome> m_pendingOutcome;
    /// An urgent start was already counted against the account's budget for this job.
    bool m_isUrgentStartCounted = false;

    bool operator==(const Job &) const = default;
};

}

#endif
