#ifndef COMPONENTS_EXPERIMENT_PLANNED_JOB_HPP
#define COMPONENTS_EXPERIMENT_PLANNED_JOB_HPP

#include "components/fleet/job_spec.hpp"

#include <optional>

namespace experiment
{

/// A generated job: the specification that its caller submits and its actual behaviour.
struct PlannedJob
{
    fleet::JobSpec m_spec;
    fleet::Duration m_runTime {0};
    /// If set, every attempt fails this long after its start.
    std::optional<fleet::Duration> m_failsAfter;
    /// If set, the caller cancels the job at this time.
    std::optional<fleet::TimePoint> m_cancelAt;
    /// The declared shape does not fit on any worker or rack.
    bool m_impossible = false;

    /// Returns true if a correct scheduler is expected to complete the job.
    bool isSound() const
    {
        return !m_failsAfter && !m_cancelAt && !m_impossible;
    }
};

}

#endif
