#ifndef COMPONENTS_EXPERIMENT_TASK_CHANGE_HPP
#define COMPONENTS_EXPERIMENT_TASK_CHANGE_HPP

#include "components/fleet/identifiers.hpp"
#include "components/fleet/time.hpp"
#include "components/scheduler/task_phase.hpp"
#include "components/scheduler/task_ref.hpp"

namespace experiment
{

/// A task began or ceased to run on a worker; what the violation checks and the measures see.
struct TaskChange
{
    scheduler::TaskRef m_task;
    fleet::WorkerId m_worker;
    scheduler::TaskPhase m_phase = scheduler::TaskPhase::Running;
    fleet::TimePoint m_at;
    /// Lease length of the command that started the task.
    fleet::Duration m_leaseLength {0};
    /// Run time that is lost because no checkpoint covers it.
    fleet::Duration m_lost {0};
};

}

#endif
