#include "components/instance/options.hpp"

#include <boost/program_options.hpp>

#include <sstream>

namespace instance
{

namespace
{

namespace po = boost::program_options;

po::options_description describe(Options &options)
{
    po::options_description description("Usage: foxtailcrossd --settings FILE [--check-settings]");
    auto add = description.add_options();
    add("help,h", po::bool_switch(&options.m_help), "show this text");
    add("version", po::bool_switch(&options.m_version), "show the version");
    add("settings", po::value(&options.m_settingsFile), "settings file (TOML)");
    add("check-settings", po::bool_switch(&options.m_checkSettings), "check the settings file and start nothing");
    return description;
}

}

Options parseOptions(const std::vector<std::string> &arguments)
{
    Options options;
    po::variables_map values;
    po::store(po::command_line_parser(arguments).options(describe(options)).run(), values);
    po::notify(values);
    return options;
}

std::string helpText()
{
    Options options;
    std::ostringstream text;
    text << describe(options) << "\nExit codes: 0 stopped in order, 1 stopped before everything was finished, 2 wrong command line, 3 wrong settings.\n";
    return text.str();
}

}
