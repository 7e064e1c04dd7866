#ifndef COMPONENTS_SETTINGS_CLI_SETTINGS_HPP
#define COMPONENTS_SETTINGS_CLI_SETTINGS_HPP

#include "components/fleet/time.hpp"
#include "components/settings/endpoint.hpp"

#include <string>
#include <vector>

namespace settings
{

class Reader;

/// Settings of the command line program `foxtailcross`.
struct CliSettings
{
    /// Instances to call, in order; the next one is tried if one can't be reached.
    std::vector<Endpoint> m_instances;
    /// Empty for users who are not operators.
    std::string m_operatorToken;
    /// Operator name that is recorded with changes.
    std::string m_operator;
    fleet::Duration m_timeout {10000};

    bool operator==(const CliSettings &) const = default;
};

/// Reads and checks the settings. Throws SettingsError listing every problem.
CliSettings readCliSettings(Reader &reader);

}

#endif
