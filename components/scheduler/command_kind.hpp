#ifndef COMPONENTS_SCHEDULER_COMMAND_KIND_HPP
#define COMPONENTS_SCHEDULER_COMMAND_KIND_HPP

#include <cstdint>

namespace scheduler
{

/// Kind of command to a worker about one task lease.
enum class CommandKind : std::uint8_t {
    Reserve,
    Start,
    Renew,
    /// Write a checkpoint and continue.
    Checkpoint,
    /// Run at reduced speed. A later Renew with full speed ends this.
    Throttle,
    Unthrottle,
    /// End the task and release the lease. Idempotent.
    Stop,
    /// The final status has been recorded; the worker may delete it.
    Forget,
};

}

#endif
