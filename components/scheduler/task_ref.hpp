#ifndef COMPONENTS_SCHEDULER_TASK_REF_HPP
#define COMPONENTS_SCHEDULER_TASK_REF_HPP

#include "components/fleet/identifiers.hpp"

#include <compare>

namespace scheduler
{

/// Names one task of one attempt at a job. It is also the identity of the task's lease on a worker.
struct TaskRef
{
    fleet::JobId m_job;
    /// Counts the attempts at the job from 1; a task status of an older attempt is never taken for the present one.
    int m_attempt = 0;
    int m_task = 0;

    auto operator<=>(const TaskRef &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(m_job, m_attempt, m_task);
    }
};

}

#endif
