#ifndef COMPONENTS_SCHEDULER_WORKER_COMMAND_HPP
#define COMPONENTS_SCHEDULER_WORKER_COMMAND_HPP

#include "components/fleet/identifiers.hpp"
#include "components/fleet/resources.hpp"
#include "components/fleet/time.hpp"
#include "components/scheduler/command_kind.hpp"
#include "components/scheduler/task_ref.hpp"

namespace scheduler
{

/// One command to one worker. Commands of one step to one worker are sent in one message, in order.
struct WorkerCommand
{
    fleet::WorkerId m_worker;
    CommandKind m_kind = CommandKind::Reserve;
    TaskRef m_task;
    /// Reserve only: what the lease covers.
    fleet::Resources m_resources;
    /// Reserve, Start and Renew: the lease expires this long after the worker receives the command.
    fleet::Duration m_leaseLength {0};
    /// Start only: run time that an earlier attempt's checkpoint covers.
    fleet::Duration m_resumeFrom {0};

    bool operator==(const WorkerCommand &) const = default;
};

}

#endif
