#ifndef COMPONENTS_INSTANCE_WORKER_MESSAGE_HPP
#define COMPONENTS_INSTANCE_WORKER_MESSAGE_HPP

#include "components/fleet/fencing_token.hpp"
#include "components/fleet/identifiers.hpp"
#include "components/scheduler/worker_command.hpp"

#include <vector>

namespace instance
{

/// Commands to one worker. A message without commands only raises the worker's fencing token and reads its leases.
struct WorkerMessage
{
    fleet::WorkerId m_worker;
    fleet::FencingToken m_fence;
    std::vector<scheduler::WorkerCommand> m_commands;

    bool operator==(const WorkerMessage &) const = default;
};

}

#endif
