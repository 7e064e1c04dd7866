#ifndef COMPONENTS_SCHEDULER_TASK_RUN_HPP
#define COMPONENTS_SCHEDULER_TASK_RUN_HPP

#include "components/fleet/time.hpp"
#include "components/scheduler/task_phase.hpp"

#include <cstdint>
#include <optional>

namespace scheduler
{

/// Worker index of a task that no worker has reported yet to a new holder.
constexpr int unknownWorker = -1;

/// One task of the present attempt at a job, as far as its worker has told.
struct TaskRun
{
    /// Index of the worker.
    int m_worker = 0;
    /// Last phase reported; nothing until the worker first listed the task.
    std::optional<TaskPhase> m_phase;
    /// The lease is certainly over: a final phase was reported, the worker does not hold it, or it lapsed.
    bool m_over = false;
    /// The worker may hold a lease; false while the attempt only claims capacity.
    bool m_isLeased = false;
    /// A final status was reported, which the worker keeps until Forget.
    bool m_isRetained = false;
    /// When the last command was sent that gives or renews the lease.
    fleet::TimePoint m_leasedAt;
    /// Last `m_leasedAt` that a later report of the worker confirms.
    fleet::TimePoint m_confirmedAt;
    fleet::TimePoint m_stoppedAt;
    /// Number of the worker's last report that lists the task.
    std::uint64_t m_lastListedInReport = 0;
    fleet::Duration m_checkpointed {0};
    /// While checkpointing: what the checkpoint has to cover.
    fleet::Duration m_requiredCheckpoint {0};
    fleet::Duration m_ran {0};

    bool operator==(const TaskRun &) const = default;
};

}

#endif
