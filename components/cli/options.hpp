#ifndef COMPONENTS_CLI_OPTIONS_HPP
#define COMPONENTS_CLI_OPTIONS_HPP

#include "components/cli/output_format.hpp"

#include <string>
#include <vector>

namespace cli
{

/// Global options of the command line, which may precede or follow the subcommand.
struct Options
{
    bool m_help = false;
    bool m_version = false;
    bool m_checkSettings = false;
    std::string m_settingsFile;
    OutputFormat m_format = OutputFormat::Table;
    /// All other arguments: the subcommand with its own options.
    std::vector<std::string> m_words;

    bool operator==(const Options &) const = default;
};

/// @throws CommandError with code Usage.
Options parseOptions(const std::vector<std::string> &arguments);

/// Returns the text printed by --help.
std::string helpText();

}

#endif
