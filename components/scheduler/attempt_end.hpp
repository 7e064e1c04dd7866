#ifndef COMPONENTS_SCHEDULER_ATTEMPT_END_HPP
#define COMPONENTS_SCHEDULER_ATTEMPT_END_HPP

#include <cstdint>

namespace scheduler
{

/// Why an attempt ends.
enum class AttemptEnd : std::uint8_t {
    /// Every task succeeded.
    Finished,
    /// A task ended with an error.
    TaskFailed,
    /// A worker refused a reservation or did not answer it.
    Refused,
    /// A lease lapsed or a worker went away.
    Lost,
    /// Stopped for a job that goes before.
    Preempted,
    Cancelled,
    /// Starts are not allowed at present.
    StartsDisallowed,
};

}

#endif
