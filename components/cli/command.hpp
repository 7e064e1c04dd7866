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
    /// One or two words, such as "accounts list".
    std::string m_name;
    /// Options as --help shows them.
    std::string m_usage;
    Arguments::Syntax m_syntax;
    /// @throws CommandError where the command does not get its answer.
    void (*m_run)(const Session &, const Arguments &);
};

/// Every subcommand in the order of --help.
const std::vector<Command> &commands();

/// Finds the command that the words begin with and runs it.
/// @throws CommandError as the command does, and with code Usage where there is no such command.
void runCommand(const Session &session, const std::vector<std::string> &words);

}

#endif
