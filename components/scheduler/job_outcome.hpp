#ifndef COMPONENTS_SCHEDULER_JOB_OUTCOME_HPP
#define COMPONENTS_SCHEDULER_JOB_OUTCOME_HPP

#include <cstdint>

namespace scheduler
{

/// How a job ended for good.
enum class JobOutcome : std::uint8_t {
    Done,
    Failed,
    Cancelled,
    /// The job can never run as declared, or has failed on enough distinct workers to prove it.
    CannotRun,
};

}

#endif
