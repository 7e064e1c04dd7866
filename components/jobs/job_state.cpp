#include "components/jobs/job_state.hpp"

namespace jobs
{

const char *nameOf(JobState value)
{
    switch (value) {
    case JobState::Queued:
        return "queued";
    case JobState::Running:
        return "running";
    case JobState::Completed:
        return "completed";
    case JobState::Failed:
        return "failed";
    case JobState::Cancelled:
        return "cancelled";
    }
    return "";
}

}
