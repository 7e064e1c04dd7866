#ifndef COMPONENTS_SCHEDULER_JOB_OUTCOME_HPP
#define COMPONENTS_SCHEDULER_JOB_OUTCOME_HPP

#include <cstdint>

namespace scheduler
{

/// Final outcome of a job.
enum class JobOutcome : std::uint8_t {
    Done,
    Failed,
    Cancelled,
    /// The job can never run as declared, or failed on so many distinct workers that the job is the cause.
    CannotRun,
};

}

#endif
