#include "apps/foxtailcross-node/check_command.hpp"

#include "platform/catalog_check.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <boost/program_options/options_description.hpp>
#include <boost/program_options/parsers.hpp>
#include <boost/program_options/positional_options.hpp>
#include <boost/program_options/variables_map.hpp>

#include <fstream>
#include <iterator>
#include <optional>
#include <ostream>
#include <stdexcept>

namespace node_app
{

namespace
{

namespace json = boost::json;
namespace options = boost::program_options;

enum ExitCode {
    Clean = 0,
    HasFindings = 1,
    WrongUse = 2,
    Unreadable = 3,
};

class UnreadableFile : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

options::options_description describeOptions()
{
    options::options_description description("foxtailcross-node check FILE [--against FILE] [--json]: checks a catalog before it is published.\n"
                                             "Exit code: 0 clean, 1 findings, 2 wrong use, 3 unreadable file.\n"
                                             "Options");
    auto add = description.add_options();
    add("help", "print this help");
    add("file", options::value<std::string>()->value_name("FILE"), "catalog to check; may be given without the name of the option");
    add("against", options::value<std::string>()->value_name("FILE"), "catalog in force, from which the differences are printed");
    add("json", "print JSON");
    return description;
}

options::variables_map parse(const std::vector<std::string> &arguments)
{
    options::positional_options_description positional;
    positional.add("file", 1);
    const options::options_description description = describeOptions();
    options::variables_map values;
    options::store(options::command_line_parser(arguments).options(description).positional(positional).run(), values);
    return values;
}

std::string readFile(const std::string &name)
{
    std::ifstream file(name, std::ios::binary);
    if (!file) {
        throw UnreadableFile("cannot open '" + name + "'");
    }
    try {
        return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
    } catch (const std::ios_base::failure &) {
        throw UnreadableFile("cannot read '" + name + "'");
    }
}

/// Returns the text of the file if it is a catalog, whatever it contains.
std::string readCatalog(const std::string &name)
{
    std::string text = readFile(name);
    if (!platform::checkCatalog(text)) {
        throw UnreadableFile("'" + name + "' is no catalog: it must be a JSON object with a version of 0 or more");
    }
    return text;
}

json::object toJson(const std::string &file, const platform::CatalogCheck &check)
{
    json::array findings;
    for (const platform::CatalogFinding &finding : check.m_findings) {
        findings.push_back(json::object {{"row", finding.m_row}, {"sentence", finding.m_sentence}, {"remedy", finding.m_remedy}});
    }
    json::array differences;
    for (const platform::CatalogDifference &difference : check.m_differences) {
        differences.push_back(
            json::object {{"change", difference.m_change}, {"entry", difference.m_entry}, {"before", difference.m_before}, {"after", difference.m_after}});
    }
    return {{"file", file}, {"version", check.m_version}, {"findings", std::move(findings)}, {"differences", std::move(differences)}};
}

void printText(std::ostream &out, const std::string &file, const platform::CatalogCheck &check)
{
    for (const platform::CatalogFinding &finding : check.m_findings) {
        out << finding.m_row << ": " << finding.m_sentence << "; " << finding.m_remedy << '\n';
    }
    for (const platform::CatalogDifference &difference : check.m_differences) {
        out << difference.m_change << ' ' << difference.m_entry;
        if (difference.m_change == "changed") {
            out << ": " << difference.m_before << " -> " << difference.m_after;
        }
        out << '\n';
    }
    out << file << ": version " << check.m_version << ", findings: " << check.m_findings.size() << ", differences: " << check.m_differences.size() << '\n';
}

int check(const options::variables_map &values, std::ostream &out)
{
    const auto file = values["file"].as<std::string>();
    const std::string text = readCatalog(file);
    const auto result
        = values.count("against") > 0 ? platform::checkCatalogAgainst(readCatalog(values["against"].as<std::string>()), text) : platform::checkCatalog(text);
    if (values.count("json") > 0) {
        out << json::serialize(toJson(file, *result)) << '\n';
    } else {
        printText(out, file, *result);
    }
    return result->m_findings.empty() ? Clean : HasFindings;
}

}

int runCheck(const std::vector<std::string> &arguments, std::ostream &out, std::ostream &errors)
{
    try {
        const options::variables_map values = parse(arguments);
        if (values.count("help") > 0) {
            out << describeOptions();
            return Clean;
        }
        if (values.count("file") == 0) {
            errors << "foxtailcross-node check: name the catalog to check; see --help\n";
            return WrongUse;
        }
        return check(values, out);
    } catch (const options::error &error) {
        errors << "foxtailcross-node check: " << error.what() << "; see --help\n";
        return WrongUse;
    } catch (const UnreadableFile &error) {
        errors << "foxtailcross-node check: " << error.what() << '\n';
        return Unreadable;
    }
}

}
