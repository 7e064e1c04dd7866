#ifndef COMPONENTS_CLI_PRINT_HPP
#define COMPONENTS_CLI_PRINT_HPP

#include "components/report/table.hpp"

#include <boost/json/fwd.hpp>

#include <string>
#include <string_view>

namespace cli
{

struct Session;

/// Prints the answer as JSON or the table, depending on the output format.
void print(const Session &session, const boost::json::value &answer, const report::Table &table);
/// Prints the answer as JSON or the sentence, depending on the output format.
void print(const Session &session, const boost::json::value &answer, const std::string &sentence);

/// Returns a member as text: strings without quotes, "-" for null and absent members.
std::string cell(const boost::json::value &object, std::string_view key);
/// Milliseconds as seconds with one decimal, such as "12.3 s"; "-" for null and absent members.
std::string secondsCell(const boost::json::value &object, std::string_view key);
/// Milliseconds since 1970 as "2026-12-04 07:30:00"; "-" for null and absent members.
std::string timeCell(const boost::json::value &object, std::string_view key);
/// Describes resources, such as "4 cores, 8000 MB, 1 accelerators".
std::string resourcesText(const boost::json::value &resources);
/// Describes a guarantee in one line.
std::string guaranteeText(const boost::json::value &guarantee);

}

#endif
