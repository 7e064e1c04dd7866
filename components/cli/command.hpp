#ifndef COMPONENTS_CLI_COMMAND_HPP
#define COMPONENTS_CLI_COMMAND_HPP

#include "components/cli/arguments.hpp"

#include <string>
#include <vector>

namespace cli
{

struct Session;

/// One subcommand of foxtailcross.
struct Command
{
    /// One or two words separated by a space, such as "accounts list".
    std::string m_name;
    /// Options as shown by --help.
    std::string m_usage;
    Arguments::Syntax m_syntax;
    /// @throws CommandError if the command fails.
    void (*m_run)(const Session &, const Arguments &);
};

/// Every subcommand in the order of --help.
const std::vector<Command> &commands();

/// Runs the command whose name the words start with.
/// @throws CommandError if the command fails, and with code Usage if there is no such command.
void runCommand(const Session &session, const std::vector<std::string> &words);

}

#endif
