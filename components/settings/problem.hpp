#ifndef COMPONENTS_SETTINGS_PROBLEM_HPP
#define COMPONENTS_SETTINGS_PROBLEM_HPP

#include <string>

namespace settings
{

/// One thing wrong with a settings file.
struct Problem
{
    std::string m_file;
    /// Counted from 1; 0 where the key is missing from the file altogether.
    int m_line = 0;
    /// Dotted path of the key.
    std::string m_key;
    std::string m_message;
    /// What to change.
    std::string m_remedy;

    bool operator==(const Problem &) const = default;
};

/// "file:line: key: message; remedy"
std::string describe(const Problem &problem);

}

#endif
