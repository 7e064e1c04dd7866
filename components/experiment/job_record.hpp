#ifndef COMPONENTS_EXPERIMENT_JOB_RECORD_HPP
#define COMPONENTS_EXPERIMENT_JOB_RECORD_HPP

#include "components/fleet/time.hpp"
#include "components/scheduler/job_outcome.hpp"

#include <cstddef>
#include <optional>

namespace experiment
{

/// What became of one generated job.
struct JobRecord
{
    /// Set once the job was sent to a zone.
    std::optional<std::size_t> m_zone;
    std::optional<fleet::TimePoint> m_endedAt;
    scheduler::JobOutcome m_outcome = scheduler::JobOutcome::Done;
    /// At submission the account was entitled to the job's shape at once.
    bool m_isWithinGuarantee = false;
    /// Urgent, and within the account's hourly budget at submission.
    bool m_isWithinUrgencyBudget = false;
};

}

#endif
