#ifndef COMPONENTS_STANDIN_TASK_EVENT_HPP
#define COMPONENTS_STANDIN_TASK_EVENT_HPP

#include "components/fleet/time.hpp"
#include "components/scheduler/task_phase.hpp"
#include "components/scheduler/task_ref.hpp"

namespace standin
{

/// Records that a task entered a phase on a worker. Tests check the history of tasks against these.
struct TaskEvent
{
    fleet::TimePoint m_at;
    scheduler::TaskRef m_task;
    scheduler::TaskPhase m_phase = scheduler::TaskPhase::Reserved;

    bool operator==(const TaskEvent &) const = default;
};

}

#endif
