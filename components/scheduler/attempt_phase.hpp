#ifndef COMPONENTS_SCHEDULER_ATTEMPT_PHASE_HPP
#define COMPONENTS_SCHEDULER_ATTEMPT_PHASE_HPP

#include <cstdint>

namespace scheduler
{

/// Where an attempt stands.
enum class AttemptPhase : std::uint8_t {
    /// Capacity is set aside but still used by gangs that are being stopped. No lease is held.
    Claiming,
    /// Reserve was sent for every task.
    Reserving,
    /// Found on workers by a new holder; not every task has been reported yet.
    Adopting,
    /// Start was sent for every task.
    Running,
    /// Running on until a checkpoint is written, then stopped.
    Checkpointing,
    /// Stop was sent for every task that is not over.
    Ending,
};

}

#endif
