#ifndef COMPONENTS_SCHEDULER_ATTEMPT_PHASE_HPP
#define COMPONENTS_SCHEDULER_ATTEMPT_PHASE_HPP

#include <cstdint>

namespace scheduler
{

/// Phase of an attempt.
enum class AttemptPhase : std::uint8_t {
    /// Capacity is allocated, but gangs that are being stopped still use it. No lease is held.
    Claiming,
    /// Reserve was sent for every task.
    Reserving,
    /// Taken over by a new holder of the scheduling duty from worker reports; not every task has been reported yet.
    Adopting,
    /// Start was sent for every task.
    Running,
    /// Runs until a checkpoint is written, then is stopped.
    Checkpointing,
    /// Stop was sent for every task whose lease is not over.
    Ending,
};

}

#endif
