#ifndef COMPONENTS_JOBS_JOB_STATE_HPP
#define COMPONENTS_JOBS_JOB_STATE_HPP

#include <cstdint>

namespace jobs
{

/// State of a job as reported to callers.
enum class JobState : std::uint8_t {
    Queued,
    Running,
    /// All tasks of all occurrences are done.
    Completed,
    /// A task or gang used up its attempts.
    Failed,
    Cancelled,
};

/// For logs and reports, in lower case.
const char *nameOf(JobState value);

}

#endif
