#ifndef COMPONENTS_SETTINGS_PROBLEM_HPP
#define COMPONENTS_SETTINGS_PROBLEM_HPP

#include <string>

namespace settings
{

/// One error in a settings file.
struct Problem
{
    std::string m_file;
    /// Line number from 1; 0 if the key is missing from the file.
    int m_line = 0;
    /// Dotted path of the key.
    std::string m_key;
    std::string m_message;
    /// What the user has to change.
    std::string m_remedy;

    bool operator==(const Problem &) const = default;
};

/// "file:line: key: message; remedy"
std::string describe(const Problem &problem);

}

#endif
