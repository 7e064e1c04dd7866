#ifndef COMPONENTS_EXPERIMENT_JOB_RECORD_HPP
#define COMPONENTS_EXPERIMENT_JOB_RECORD_HPP

#include "components/fleet/time.hpp"
#include "components/scheduler/job_outcome.hpp"

#include <cstddef>
#include <optional>

namespace experiment
{

/// Outcome of one generated job.
struct JobRecord
{
    /// Index of the zone that the job was sent to. Empty before that.
    std::optional<std::size_t> m_zone;
    std::optional<fleet::TimePoint> m_endedAt;
    scheduler::JobOutcome m_outcome = scheduler::JobOutcome::Done;
    /// At submission the account had an unused guarantee of the job's shape.
    bool m_isWithinGuarantee = false;
    /// The job is urgent and was within the account's hourly budget for urgent jobs at submission.
    bool m_isWithinUrgencyBudget = false;
};

}

#endif
