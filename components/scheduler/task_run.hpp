#ifndef COMPONENTS_SCHEDULER_TASK_RUN_HPP
#define COMPONENTS_SCHEDULER_TASK_RUN_HPP

#include "components/fleet/time.hpp"
#include "components/scheduler/task_phase.hpp"

#include <cstdint>
#include <optional>

namespace scheduler
{

/// Worker index of an adopted task that no worker has reported yet.
constexpr int unknownWorker = -1;

/// One task of the current attempt at a job, according to its worker's last report.
struct TaskRun
{
    /// Index of the worker.
    int m_worker = 0;
    /// Last phase reported; empty until the worker first listed the task.
    std::optional<TaskPhase> m_phase;
    /// The lease is over for certain: a final phase was reported, the worker does not hold the lease, or it expired.
    bool m_over = false;
    /// The worker may hold a lease; false while the attempt is claiming.
    bool m_isLeased = false;
    /// A final status was reported, which the worker keeps until it receives Forget.
    bool m_isRetained = false;
    /// When the last command that grants or renews the lease was sent.
    fleet::TimePoint m_leasedAt;
    /// Last `m_leasedAt` that a later report of the worker confirms.
    fleet::TimePoint m_confirmedAt;
    fleet::TimePoint m_stoppedAt;
    /// Number (`Worker::m_reportCount`) of the last report that listed the task.
    std::uint64_t m_lastListedInReport = 0;
    fleet::Duration m_checkpointed {0};
    /// While checkpointing: run time that the checkpoint has to cover.
    fleet::Duration m_requiredCheckpoint {0};
    fleet::Duration m_ran {0};

    bool operator==(const TaskRun &) const = default;
};

}

#endif
