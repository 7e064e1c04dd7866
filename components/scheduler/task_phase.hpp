#ifndef COMPONENTS_SCHEDULER_TASK_PHASE_HPP
#define COMPONENTS_SCHEDULER_TASK_PHASE_HPP

#include <cstdint>

namespace scheduler
{

/// Phase of a task as its worker reports it.
enum class TaskPhase : std::uint8_t {
    /// The worker holds the resources under a lease; nothing runs.
    Reserved,
    /// The worker refused the reservation or the start; nothing ran.
    Refused,
    Running,
    /// The task ended by itself with success.
    Succeeded,
    /// The task ended by itself with an error.
    Failed,
    /// The task was stopped on request, or was never started.
    Stopped,
    /// The lease expired and the worker ended the task.
    LeaseExpired,
};

}

#endif
