#ifndef COMPONENTS_PLATFORM_COMMAND_MESSAGE_HPP
#define COMPONENTS_PLATFORM_COMMAND_MESSAGE_HPP

#include "components/fleet/fencing_token.hpp"
#include "components/fleet/identifiers.hpp"
#include "components/platform/task_command.hpp"

#include <vector>

namespace platform
{

/// Commands for one worker, in order. An empty list only raises the fencing token and requests the report.
struct CommandMessage
{
    fleet::InstanceId m_holder;
    fleet::FencingToken m_fence;
    std::vector<TaskCommand> m_commands;

    bool operator==(const CommandMessage &) const = default;
};

}

#endif
