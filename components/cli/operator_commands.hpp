#ifndef COMPONENTS_CLI_OPERATOR_COMMANDS_HPP
#define COMPONENTS_CLI_OPERATOR_COMMANDS_HPP

#include "components/cli/command.hpp"

#include <vector>

namespace cli
{

std::vector<Command> operatorCommands();

}

#endif
