#ifndef COMPONENTS_SETTINGS_CLI_SETTINGS_HPP
#define COMPONENTS_SETTINGS_CLI_SETTINGS_HPP

#include "components/fleet/time.hpp"
#include "components/settings/endpoint.hpp"

#include <string>
#include <vector>

namespace settings
{

class Reader;

/// What the command line program `foxtailcross` learns from its settings file.
struct CliSettings
{
    /// Instances to ask, in order; the next one is asked when one can't be reached.
    std::vector<Endpoint> m_instances;
    /// Empty where the user only calls and does not operate.
    std::string m_operatorToken;
    /// Name under which changes are recorded.
    std::string m_operator;
    fleet::Duration m_timeout {10000};

    bool operator==(const CliSettings &) const = default;
};

/// Reads and checks the settings. Throws SettingsError listing every problem.
CliSettings readCliSettings(Reader &reader);

}

#endif
