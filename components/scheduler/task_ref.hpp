#ifndef COMPONENTS_SCHEDULER_TASK_REF_HPP
#define COMPONENTS_SCHEDULER_TASK_REF_HPP

#include "components/fleet/identifiers.hpp"

#include <compare>

namespace scheduler
{

/// Identifies one task of one attempt at a job. It is also the identity of the task's lease on a worker.
struct TaskRef
{
    fleet::JobId m_job;
    /// Counts the attempts at the job from 1; this tells a task status of an older attempt from one of the current attempt.
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
