#ifndef COMPONENTS_SETTINGS_SETTINGS_ERROR_HPP
#define COMPONENTS_SETTINGS_SETTINGS_ERROR_HPP

#include "components/settings/problem.hpp"

#include <stdexcept>
#include <vector>

namespace settings
{

/// Thrown if a settings file is not accepted. The message lists every problem, one per line.
class SettingsError : public std::runtime_error
{
public:
    explicit SettingsError(std::vector<Problem> problems);

    const std::vector<Problem> &problems() const
    {
        return m_problems;
    }

private:
    std::vector<Problem> m_problems;
};

}

#endif
