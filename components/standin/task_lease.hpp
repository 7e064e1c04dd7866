#ifndef COMPONENTS_STANDIN_TASK_LEASE_HPP
#define COMPONENTS_STANDIN_TASK_LEASE_HPP

#include "components/fleet/resources.hpp"
#include "components/fleet/time.hpp"
#include "components/scheduler/task_phase.hpp"

namespace standin
{

/// One task on a worker: its lease while it is live, and its final status until that is forgotten.
struct TaskLease
{
    scheduler::TaskPhase m_phase = scheduler::TaskPhase::Reserved;
    fleet::Resources m_resources;
    fleet::TimePoint m_leaseUntil;
    /// Run time of the whole task, what earlier attempts did included.
    fleet::Duration m_totalRunTime {0};
    /// Run time that earlier attempts did.
    fleet::Duration m_resumedFrom {0};
    fleet::Duration m_checkpointed {0};
    /// Run time on this attempt, up to m_updatedAt.
    fleet::Duration m_ran {0};
    fleet::TimePoint m_updatedAt;
    bool m_throttled = false;
    /// The task ends with an error.
    bool m_willFail = false;

    bool operator==(const TaskLease &) const = default;
};

}

#endif
