#ifndef COMPONENTS_SCHEDULER_TASK_STATUS_HPP
#define COMPONENTS_SCHEDULER_TASK_STATUS_HPP

#include "components/fleet/time.hpp"
#include "components/scheduler/task_phase.hpp"
#include "components/scheduler/task_ref.hpp"

namespace scheduler
{

/// Status of one task in a worker's report.
struct TaskStatus
{
    TaskRef m_task;
    TaskPhase m_phase = TaskPhase::Reserved;
    /// Run time that the last checkpoint covers, earlier attempts included; a resumed attempt skips it.
    fleet::Duration m_checkpointed {0};
    /// Run time of the task so far in this attempt.
    fleet::Duration m_ran {0};

    bool operator==(const TaskStatus &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(m_task, m_phase);
        serializeDuration(archive, m_checkpointed);
        serializeDuration(archive, m_ran);
    }
};

}

#endif
