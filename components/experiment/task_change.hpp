#ifndef COMPONENTS_EXPERIMENT_TASK_CHANGE_HPP
#define COMPONENTS_EXPERIMENT_TASK_CHANGE_HPP

#include "components/fleet/identifiers.hpp"
#include "components/fleet/time.hpp"
#include "components/scheduler/task_phase.hpp"
#include "components/scheduler/task_ref.hpp"

namespace experiment
{

/// A task started or stopped running on a worker. Input of the violation checks and the measures.
struct TaskChange
{
    scheduler::TaskRef m_task;
    fleet::WorkerId m_worker;
    scheduler::TaskPhase m_phase = scheduler::TaskPhase::Running;
    fleet::TimePoint m_at;
    /// Lease length of the command that started the task.
    fleet::Duration m_leaseLength {0};
    /// Run time lost because no checkpoint covers it.
    fleet::Duration m_lost {0};
};

}

#endif
