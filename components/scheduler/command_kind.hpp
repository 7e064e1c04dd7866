#ifndef COMPONENTS_SCHEDULER_COMMAND_KIND_HPP
#define COMPONENTS_SCHEDULER_COMMAND_KIND_HPP

#include <cstdint>

namespace scheduler
{

/// What a worker is asked to do with one task lease.
enum class CommandKind : std::uint8_t {
    Reserve,
    Start,
    Renew,
    /// Write a checkpoint and go on running.
    Checkpoint,
    /// Run at reduced speed. A later Renew with full speed lifts it.
    Throttle,
    Unthrottle,
    /// End the task and release the lease. Idempotent.
    Stop,
    /// The final status has been recorded; the worker may drop it.
    Forget,
};

}

#endif
