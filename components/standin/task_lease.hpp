#ifndef COMPONENTS_STANDIN_TASK_LEASE_HPP
#define COMPONENTS_STANDIN_TASK_LEASE_HPP

#include "components/fleet/resources.hpp"
#include "components/fleet/time.hpp"
#include "components/scheduler/task_phase.hpp"

namespace standin
{

/// One task on a worker: its lease while it is reserved or running, then its final status until a Forget command removes it.
struct TaskLease
{
    scheduler::TaskPhase m_phase = scheduler::TaskPhase::Reserved;
    fleet::Resources m_resources;
    fleet::TimePoint m_leaseUntil;
    /// Run time of the task over all attempts.
    fleet::Duration m_totalRunTime {0};
    /// Run time completed by earlier attempts.
    fleet::Duration m_resumedFrom {0};
    fleet::Duration m_checkpointed {0};
    /// Run time of this attempt up to m_updatedAt.
    fleet::Duration m_ran {0};
    fleet::TimePoint m_updatedAt;
    bool m_throttled = false;
    /// The task will end with an error.
    bool m_willFail = false;

    bool operator==(const TaskLease &) const = default;
};

}

#endif
