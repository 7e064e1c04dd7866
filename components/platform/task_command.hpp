#ifndef COMPONENTS_PLATFORM_TASK_COMMAND_HPP
#define COMPONENTS_PLATFORM_TASK_COMMAND_HPP

#include "components/scheduler/worker_command.hpp"

namespace platform
{

/// A command as it is sent to a worker.
struct TaskCommand
{
    scheduler::WorkerCommand m_command;
    /// Start only: run time of the whole task on a stand-in worker; 0 uses the time in the stand-in's settings. Other workers
    /// ignore it.
    fleet::Duration m_standInRunTime {0};

    bool operator==(const TaskCommand &) const = default;
};

}

#endif
