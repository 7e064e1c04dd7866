#ifndef COMPONENTS_PLATFORM_COMMAND_OUTCOME_HPP
#define COMPONENTS_PLATFORM_COMMAND_OUTCOME_HPP

#include <cstdint>

namespace platform
{

/// What is known about a command message.
enum class CommandOutcome : std::uint8_t {
    /// The worker took the commands and reported its tasks.
    Reported,
    /// The worker has seen a higher fencing token and took no command.
    Fenced,
    /// Certain not to have reached the worker.
    NotSent,
    /// The worker may have taken the commands.
    Unknown,
};

}

#endif
