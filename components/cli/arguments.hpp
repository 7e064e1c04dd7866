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

/// Parsed arguments of one command: "--name value" options, "--name" flags and positional arguments.
class Arguments
{
public:
    /// The arguments that a command accepts.
    struct Syntax
    {
        std::set<std::string> m_options;
        std::set<std::string> m_flags;
        /// Names of the positional arguments, all required.
        std::vector<std::string> m_words;
    };

    /// @throws CommandError with code Usage if the words do not match the syntax.
    Arguments(const std::vector<std::string> &words, const Syntax &syntax);

    bool has(const std::string &option) const;
    bool flag(const std::string &name) const;
    const std::string &positional(const std::string &name) const;
    /// @throws CommandError with code Usage if the option is missing.
    std::string required(const std::string &option) const;
    std::string text(const std::string &option, const std::string &defaultValue) const;
    std::int64_t integer(const std::string &option, std::int64_t defaultValue) const;
    double number(const std::string &option, double defaultValue) const;
    /// Value of a duration option such as "30 s", in milliseconds.
    std::int64_t milliseconds(const std::string &option, std::int64_t defaultValue) const;
    /// All values of a repeatable option.
    std::vector<std::string> all(const std::string &option) const;

private:
    std::multimap<std::string, std::string> m_values;
    std::set<std::string> m_setFlags;
    std::map<std::string, std::string> m_positional;
};

/// Parses a whole number. `what` names it in the error message.
/// @throws CommandError with code Usage.
std::int64_t parseInteger(const std::string &text, const std::string &what);

}

#endif
