#ifndef COMPONENTS_CLI_COMMAND_ERROR_HPP
#define COMPONENTS_CLI_COMMAND_ERROR_HPP

#include "components/cli/exit_code.hpp"

#include <stdexcept>
#include <string>

namespace cli
{

/// Thrown when a command fails. The message names the remedy.
class CommandError : public std::runtime_error
{
public:
    CommandError(ExitCode code, const std::string &message)
        : std::runtime_error(message)
        , m_code(code)
    {
    }

    ExitCode code() const
    {
        return m_code;
    }

private:
    ExitCode m_code;
};

}

#endif
