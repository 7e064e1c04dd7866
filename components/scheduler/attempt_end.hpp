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
    /// A lease expired or a worker was removed.
    Lost,
    /// Stopped in favour of a job with precedence.
    Preempted,
    Cancelled,
    /// Ended before the start because starts are not allowed at present.
    StartsDisallowed,
};

}

#endif
