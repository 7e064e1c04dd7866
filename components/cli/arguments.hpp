#ifndef COMPONENTS_CLI_ARGUMENTS_HPP
#define COMPONENTS_CLI_ARGUMENTS_HPP

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace cli
{

/// Options of one command: "--name value" pairs, "--flag"s and positional words.
class Arguments
{
public:
    /// What a command accepts.
    struct Syntax
    {
        std::set<std::string> m_options;
        std::set<std::string> m_flags;
        /// Names of the positional words, all required.
        std::vector<std::string> m_words;
    };

    /// @throws CommandError with code Usage where the words do not match what is syntax.
    Arguments(const std::vector<std::string> &words, const Syntax &syntax);

    bool has(const std::string &option) const;
    bool flag(const std::string &name) const;
    const std::string &positional(const std::string &name) const;
    /// @throws CommandError with code Usage where the option is missing.
    std::string required(const std::string &option) const;
    std::string text(const std::string &option, const std::string &defaultValue) const;
    std::int64_t integer(const std::string &option, std::int64_t defaultValue) const;
    double number(const std::string &option, double defaultValue) const;
    /// Milliseconds of an option such as "30 s".
    std::int64_t milliseconds(const std::string &option, std::int64_t defaultValue) const;
    /// Every value of an option that may be repeated.
    std::vector<std::string> all(const std::string &option) const;

private:
    std::multimap<std::string, std::string> m_values;
    std::set<std::string> m_setFlags;
    std::map<std::string, std::string> m_positional;
};

/// Reads a whole number. `what` names it in the message.
/// @throws CommandError with code Usage.
std::int64_t parseInteger(const std::string &text, const std::string &what);

}

#endif
