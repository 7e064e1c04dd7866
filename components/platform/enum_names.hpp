#ifndef COMPONENTS_PLATFORM_ENUM_NAMES_HPP
#define COMPONENTS_PLATFORM_ENUM_NAMES_HPP

#include "components/scheduler/command_kind.hpp"
#include "components/scheduler/task_phase.hpp"

#include <string>

namespace platform
{

std::string commandName(scheduler::CommandKind kind);
/// @throws DecodeError
scheduler::CommandKind parseCommandName(const std::string &name);

std::string phaseName(scheduler::TaskPhase phase);
/// @throws DecodeError
scheduler::TaskPhase parsePhaseName(const std::string &name);

}

#endif
