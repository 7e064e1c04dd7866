#ifndef COMPONENTS_JOBS_JOB_STATE_HPP
#define COMPONENTS_JOBS_JOB_STATE_HPP

#include <cstdint>

namespace jobs
{

/// What a caller is told about a job.
enum class JobState : std::uint8_t {
    Queued,
    Running,
    /// Every task is done.
    Completed,
    /// A task used up its attempts.
    Failed,
    Cancelled,
};

/// For logs and reports, in lower case.
const char *nameOf(JobState value);

}

#endif
