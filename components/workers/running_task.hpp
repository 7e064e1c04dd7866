#ifndef COMPONENTS_WORKERS_RUNNING_TASK_HPP
#define COMPONENTS_WORKERS_RUNNING_TASK_HPP

#include "components/jobs/run_id.hpp"

#include <cstdint>
#include <string>

namespace workers
{

/// A run that a worker reports as running.
struct RunningTask
{
    jobs::RunId m_run;
    std::string m_checkpoint;
    /// Progress; 100 for a long-running task that is working.
    int m_percent = 0;
    /// Measured over about the last half second. Long-running tasks that serve requests: tail of the response times in
    /// milliseconds. Other tasks: thousandths of a core in use. Negative if not reported.
    std::int64_t m_usage = -1;

    bool operator==(const RunningTask &) const = default;
};

}

#endif
