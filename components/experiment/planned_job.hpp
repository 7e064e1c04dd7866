#ifndef COMPONENTS_EXPERIMENT_PLANNED_JOB_HPP
#define COMPONENTS_EXPERIMENT_PLANNED_JOB_HPP

#include "components/fleet/job_spec.hpp"

#include <optional>

namespace experiment
{

/// A generated job: what its caller declares and how it really behaves.
struct PlannedJob
{
    fleet::JobSpec m_spec;
    fleet::Duration m_runTime {0};
    /// Set where every attempt fails this long after its start.
    std::optional<fleet::Duration> m_failsAfter;
    /// Set where the caller cancels the job.
    std::optional<fleet::TimePoint> m_cancelAt;
    /// The declared shape is larger than any worker or rack.
    bool m_impossible = false;

    /// True where a correct scheduler is expected to finish the job.
    bool isSound() const
    {
        return !m_failsAfter && !m_cancelAt && !m_impossible;
    }
};

}

#endif
