#include "components/api/job_view.hpp"

namespace api
{

std::string_view phaseName(const JobView &job)
{
    if (job.m_outcome) {
        return "ended";
    }
    return job.m_running ? "running" : "waiting";
}

std::string_view outcomeName(scheduler::JobOutcome outcome)
{
    switch (outcome) {
    case scheduler::JobOutcome::Done:
        return "done";
    case scheduler::JobOutcome::Failed:
        return "failed";
    case scheduler::JobOutcome::Cancelled:
        return "cancelled";
    case scheduler::JobOutcome::CannotRun:
        return "cannot-run";
    }
    return "";
}

RunState runStateOf(const JobView &job)
{
    if (!job.m_outcome) {
        return RunState::NotApplicable;
    }
    return job.m_attempt == 0 ? RunState::DidNotRun : RunState::Done;
}

}
