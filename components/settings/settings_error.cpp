#include "components/settings/settings_error.hpp"

#include <utility>

namespace settings
{

namespace
{

std::string describeAll(const std::vector<Problem> &problems)
{
    std::string text;
    for (const Problem &problem : problems) {
        text += describe(problem) + "\n";
    }
    return text;
}

}

SettingsError::SettingsError(std::vector<Problem> problems)
    : std::runtime_error(describeAll(problems))
    , m_problems(std::move(problems))
{
}

}
