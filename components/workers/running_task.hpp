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
    /// Progress; 100 for a lasting task at work.
    int m_percent = 0;
    /// Over the last half second, roughly: for a lasting task that serves, the tail of its response times in
    /// milliseconds; for any other, thousandths of a core in use. Negative where it is not told.
    std::int64_t m_usage = -1;

    bool operator==(const RunningTask &) const = default;
};

}

#endif
