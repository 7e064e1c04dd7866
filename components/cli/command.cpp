#include "components/cli/command.hpp"

#include "components/cli/command_error.hpp"
#include "components/cli/job_commands.hpp"
#include "components/cli/operator_commands.hpp"
#include "components/cli/report_commands.hpp"
#include "components/cli/request_commands.hpp"

namespace cli
{

namespace
{

std::vector<Command> collectCommands()
{
    std::vector<Command> all;
    for (const std::vector<Command> &part : {operatorCommands(), jobCommands(), requestCommands(), reportCommands()}) {
        all.insert(all.end(), part.begin(), part.end());
    }
    return all;
}

/// Returns the number of words in the command's name if `words` start with it, otherwise 0.
std::size_t matchName(const Command &command, const std::vector<std::string> &words)
{
    std::string name;
    for (std::size_t count = 0; count < words.size() && count < 2; ++count) {
        name += (count ? " " : "") + words[count];
        if (name == command.m_name) {
            return count + 1;
        }
    }
    return 0;
}

}

const std::vector<Command> &commands()
{
    static const std::vector<Command> all = collectCommands();
    return all;
}

void runCommand(const Session &session, const std::vector<std::string> &words)
{
    for (const Command &command : commands()) {
        const std::size_t matched = matchName(command, words);
        if (matched > 0) {
            const std::vector<std::string> rest(words.begin() + static_cast<std::ptrdiff_t>(matched), words.end());
            command.m_run(session, Arguments(rest, command.m_syntax));
            return;
        }
    }
    throw CommandError(ExitCode::Usage, "unknown command '" + (words.empty() ? std::string() : words.front()) + "'; see --help");
}

}
