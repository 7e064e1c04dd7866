#ifndef COMPONENTS_PLATFORM_COMMAND_RESULT_HPP
#define COMPONENTS_PLATFORM_COMMAND_RESULT_HPP

#include "components/fleet/fencing_token.hpp"
#include "components/platform/command_outcome.hpp"
#include "components/scheduler/task_status.hpp"

#include <string>
#include <vector>

namespace platform
{

struct CommandResult
{
    CommandOutcome m_outcome = CommandOutcome::Unknown;
    /// Reported and Fenced: the highest token that the worker has seen.
    fleet::FencingToken m_fence;
    /// Reported: every live lease and every final status that no Forget command has removed yet.
    std::vector<scheduler::TaskStatus> m_tasks;
    /// NotSent and Unknown: the reason.
    std::string m_reason;

    bool operator==(const CommandResult &) const = default;
};

}

#endif
