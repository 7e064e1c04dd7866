#include "components/cli/arguments.hpp"

#include "components/cli/command_error.hpp"
#include "components/settings/parse.hpp"

#include <boost/program_options.hpp>

#include <charconv>

namespace cli
{

namespace
{

namespace po = boost::program_options;

[[noreturn]] void throwUsageError(const std::string &message)
{
    throw CommandError(ExitCode::Usage, message);
}

po::options_description describe(const Arguments::Syntax &syntax)
{
    po::options_description description;
    for (const std::string &option : syntax.m_options)
        description.add_options()(option.c_str(), po::value<std::vector<std::string>>());
    for (const std::string &flag : syntax.m_flags)
        description.add_options()(flag.c_str(), po::bool_switch());
    description.add_options()("word", po::value<std::vector<std::string>>());
    return description;
}

po::variables_map parse(const std::vector<std::string> &words, const Arguments::Syntax &syntax)
{
    po::positional_options_description positional;
    positional.add("word", -1);
    const po::options_description description = describe(syntax);
    po::variables_map values;
    try {
        po::store(po::command_line_parser(words).options(description).positional(positional).run(), values);
    } catch (const po::error &error) {
        throwUsageError(std::string(error.what()) + "; see --help");
    }
    return values;
}

}

std::int64_t parseInteger(const std::string &text, const std::string &what)
{
    std::int64_t value = 0;
    const char *end = text.data() + text.size();
    const auto result = std::from_chars(text.data(), end, value);
    if (result.ec != std::errc() || result.ptr != end)
        throwUsageError(what + " '" + text + "' is not a whole number; correct it");
    return value;
}

Arguments::Arguments(const std::vector<std::string> &words, const Syntax &syntax)
{
    const po::variables_map values = parse(words, syntax);
    for (const std::string &option : syntax.m_options) {
        if (!values.count(option))
            continue;
        for (const std::string &value : values[option].as<std::vector<std::string>>())
            m_values.emplace(option, value);
    }
    for (const std::string &flag : syntax.m_flags) {
        if (values[flag].as<bool>())
            m_setFlags.insert(flag);
    }
    const auto positional = values.count("word") ? values["word"].as<std::vector<std::string>>() : std::vector<std::string>();
    if (positional.size() > syntax.m_words.size())
        throwUsageError("unexpected argument '" + positional[syntax.m_words.size()] + "'; see --help");
    for (std::size_t index = 0; index < syntax.m_words.size(); ++index) {
        if (index >= positional.size())
            throwUsageError(syntax.m_words[index] + " is missing; add it");
        m_positional[syntax.m_words[index]] = positional[index];
    }
}

bool Arguments::has(const std::string &option) const
{
    return m_values.contains(option);
}

bool Arguments::flag(const std::string &name) const
{
    return m_setFlags.contains(name);
}

const std::string &Arguments::positional(const std::string &name) const
{
    return m_positional.at(name);
}

std::string Arguments::required(const std::string &option) const
{
    const auto found = m_values.find(option);
    if (found == m_values.end())
        throwUsageError("--" + option + " is missing; add it");
    return found->second;
}

std::string Arguments::text(const std::string &option, const std::string &defaultValue) const
{
    const auto found = m_values.find(option);
    return found == m_values.end() ? defaultValue : found->second;
}

std::int64_t Arguments::integer(const std::string &option, std::int64_t defaultValue) const
{
    return has(option) ? parseInteger(required(option), "--" + option) : defaultValue;
}

double Arguments::number(const std::string &option, double defaultValue) const
{
    if (!has(option))
        return defaultValue;
    const std::string text = required(option);
    double value = 0;
    const char *end = text.data() + text.size();
    const auto result = std::from_chars(text.data(), end, value);
    if (result.ec != std::errc() || result.ptr != end)
        throwUsageError("--" + option + " '" + text + "' is not a number; correct it");
    return value;
}

std::int64_t Arguments::milliseconds(const std::string &option, std::int64_t defaultValue) const
{
    if (!has(option))
        return defaultValue;
    const auto duration = settings::parseDuration(required(option));
    if (!duration)
        throwUsageError("--" + option + " is not a duration; write a number and a unit such as \"30 s\", \"5 min\" or \"2 h\"");
    return duration->count();
}

std::vector<std::string> Arguments::all(const std::string &option) const
{
    std::vector<std::string> values;
    const auto [first, last] = m_values.equal_range(option);
    for (auto entry = first; entry != last; ++entry)
        values.push_back(entry->second);
    return values;
}

}
