#ifndef COMPONENTS_PLATFORM_COMMAND_OUTCOME_HPP
#define COMPONENTS_PLATFORM_COMMAND_OUTCOME_HPP

#include <cstdint>

namespace platform
{

/// What the sender can conclude about a command message.
enum class CommandOutcome : std::uint8_t {
    /// The worker accepted the commands and reported its tasks.
    Reported,
    /// The worker has seen a higher fencing token and rejected every command.
    Fenced,
    /// The message certainly did not reach the worker.
    NotSent,
    /// The worker may have accepted the commands.
    Unknown,
};

}

#endif
