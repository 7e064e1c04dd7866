#include "components/cli/options.hpp"

#include "components/cli/command.hpp"
#include "components/cli/command_error.hpp"

namespace cli
{

namespace
{

const std::string &valueOf(const std::vector<std::string> &arguments, std::size_t &index)
{
    if (index + 1 >= arguments.size()) {
        throw CommandError(ExitCode::Usage, arguments[index] + " needs a value; add it");
    }
    return arguments[++index];
}

OutputFormat parseFormat(const std::string &text)
{
    if (text == "table") {
        return OutputFormat::Table;
    }
    if (text == "json") {
        return OutputFormat::Json;
    }
    throw CommandError(ExitCode::Usage, "--output '" + text + "' is unknown; use table or json");
}

/// Reads one global option, which is valid before and after the subcommand. Returns false if the argument is not one.
bool readOption(Options &options, const std::vector<std::string> &arguments, std::size_t &index)
{
    const std::string &argument = arguments[index];
    if (argument == "--help" || argument == "-h") {
        options.m_help = true;
    } else if (argument == "--version") {
        options.m_version = true;
    } else if (argument == "--check-settings") {
        options.m_checkSettings = true;
    } else if (argument == "--settings") {
        options.m_settingsFile = valueOf(arguments, index);
    } else if (argument == "--output") {
        options.m_format = parseFormat(valueOf(arguments, index));
    } else {
        return false;
    }
    return true;
}

}

Options parseOptions(const std::vector<std::string> &arguments)
{
    Options options;
    for (std::size_t index = 0; index < arguments.size(); ++index) {
        if (!readOption(options, arguments, index)) {
            options.m_words.push_back(arguments[index]);
        }
    }
    return options;
}

std::string helpText()
{
    std::string text = "Usage: foxtailcross --settings FILE [--output table|json] COMMAND\n"
                       "       foxtailcross --settings FILE --check-settings | --help | --version\n\n"
                       "Commands:\n";
    for (const Command &command : commands()) {
        text += "  " + command.m_name + (command.m_usage.empty() ? "" : " ") + command.m_usage + "\n";
    }
    text += "\nEach change takes --made-from VERSION; without it the version now in force is used.\n"
            "SHAPE is tasks=N,accelerators=N,cores=N,memory-mb=N,adjacency=A,count=N,zones=FIRST/SECOND.\n"
            "AMOUNT is accelerators=N,cores=N,memory-mb=N. TIME is a number and a unit, such as \"30 s\".\n\n"
            "Exit codes: 0 done, 1 refused, 2 wrong command line, 3 wrong settings, 4 no instance reached, 5 outcome unknown.\n";
    return text;
}

}
