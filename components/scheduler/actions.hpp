#ifndef COMPONENTS_SCHEDULER_ACTIONS_HPP
#define COMPONENTS_SCHEDULER_ACTIONS_HPP

#include "components/fleet/identifiers.hpp"
#include "components/scheduler/job_outcome.hpp"
#include "components/scheduler/worker_command.hpp"

#include <string>
#include <variant>
#include <vector>

namespace scheduler
{

/// All tasks of the attempt are reserved and about to start. While the log is reachable, this is recorded before the
/// Start commands are sent.
struct AttemptStarted
{
    fleet::JobId m_job;
    int m_attempt = 0;
    /// Worker of each task, by task number.
    std::vector<fleet::WorkerId> m_workers;
};

/// No task of the attempt holds a lease on any worker any more, and the job waits again.
struct AttemptEnded
{
    fleet::JobId m_job;
    int m_attempt = 0;
    /// Run time that the checkpoint covers.
    fleet::Duration m_checkpointed {0};
    std::string m_reason;
};

struct JobEnded
{
    fleet::JobId m_job;
    int m_attempt = 0;
    JobOutcome m_outcome = JobOutcome::Done;
    std::string m_reason;
};

using Action = std::variant<WorkerCommand, AttemptStarted, AttemptEnded, JobEnded>;

}

#endif
