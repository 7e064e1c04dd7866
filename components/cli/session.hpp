#ifndef COMPONENTS_CLI_SESSION_HPP
#define COMPONENTS_CLI_SESSION_HPP

#include "components/cli/output_format.hpp"
#include "components/fleet/time.hpp"

#include <functional>
#include <iosfwd>
#include <string>

namespace cli
{

class ApiClient;

/// Context that is passed to every command.
struct Session
{
    const ApiClient &m_client;
    /// Operator under whose name changes are recorded.
    std::string m_operator;
    OutputFormat m_format = OutputFormat::Table;
    std::ostream &m_out;
    fleet::TimePoint m_now;
    /// Returns a new unique id.
    std::function<std::string()> m_makeId;
};

}

#endif
