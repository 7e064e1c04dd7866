#ifndef COMPONENTS_PLATFORM_TASK_COMMAND_HPP
#define COMPONENTS_PLATFORM_TASK_COMMAND_HPP

#include "components/scheduler/worker_command.hpp"

namespace platform
{

/// One command as it travels to a worker.
struct TaskCommand
{
    scheduler::WorkerCommand m_command;
    /// Start only: how long a stand-in's task really runs, 0 where its settings decide. Other workers ignore it.
    fleet::Duration m_standInRunTime {0};

    bool operator==(const TaskCommand &) const = default;
};

}

#endif
