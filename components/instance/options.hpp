#ifndef COMPONENTS_INSTANCE_OPTIONS_HPP
#define COMPONENTS_INSTANCE_OPTIONS_HPP

#include <string>
#include <vector>

namespace instance
{

/// The command line of foxtailcrossd.
struct Options
{
    bool m_help = false;
    bool m_version = false;
    bool m_checkSettings = false;
    std::string m_settingsFile;

    bool operator==(const Options &) const = default;
};

/// @throws boost::program_options::error if the command line is invalid.
Options parseOptions(const std::vector<std::string> &arguments);

/// The text of --help.
std::string helpText();

}

#endif
