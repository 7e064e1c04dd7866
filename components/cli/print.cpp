#include "components/cli/print.hpp"

#include "components/cli/session.hpp"
#include "components/fleet/time.hpp"

#include <boost/json.hpp>

#include <array>
#include <cstdio>
#include <ctime>
#include <ostream>

namespace cli
{

namespace
{

constexpr std::int64_t milliCoresPerCore = 1000;
constexpr double millisecondsPerSecond = 1000.0;

const boost::json::value *find(const boost::json::value &object, std::string_view key)
{
    const boost::json::object *members = object.if_object();
    return members ? members->if_contains(key) : nullptr;
}

std::string number(double value, const char *format)
{
    std::array<char, 64> buffer {};
    std::snprintf(buffer.data(), buffer.size(), format, value);
    return buffer.data();
}

}

void print(const Session &session, const boost::json::value &answer, const report::Table &table)
{
    print(session, answer, report::renderText(table));
}

void print(const Session &session, const boost::json::value &answer, const std::string &sentence)
{
    if (session.m_format == OutputFormat::Json) {
        session.m_out << boost::json::serialize(answer) << '\n';
        return;
    }
    session.m_out << sentence;
    if (!sentence.ends_with('\n')) {
        session.m_out << '\n';
    }
}

std::string cell(const boost::json::value &object, std::string_view key)
{
    const boost::json::value *member = find(object, key);
    if (!member || member->is_null()) {
        return "-";
    }
    if (member->is_bool()) {
        return member->as_bool() ? "yes" : "no";
    }
    if (member->is_double()) {
        return number(member->as_double(), "%.2f");
    }
    if (member->is_string()) {
        return member->as_string().empty() ? "-" : std::string(member->as_string());
    }
    return boost::json::serialize(*member);
}

std::string secondsCell(const boost::json::value &object, std::string_view key)
{
    const boost::json::value *member = find(object, key);
    if (!member || !member->is_number()) {
        return "-";
    }
    return number(member->to_number<double>() / millisecondsPerSecond, "%.1f s");
}

std::string timeCell(const boost::json::value &object, std::string_view key)
{
    const boost::json::value *member = find(object, key);
    if (!member || !member->is_number()) {
        return "-";
    }
    const auto seconds = static_cast<std::time_t>(member->to_number<std::int64_t>() / static_cast<std::int64_t>(millisecondsPerSecond));
    std::tm parts {};
    gmtime_r(&seconds, &parts);
    std::array<char, 32> buffer {};
    std::strftime(buffer.data(), buffer.size(), "%F %T", &parts);
    return buffer.data();
}

std::string resourcesText(const boost::json::value &resources)
{
    const std::int64_t cores = resources.at("milliCores").to_number<std::int64_t>() / milliCoresPerCore;
    return std::to_string(cores) + " cores, " + cell(resources, "memoryMb") + " MB, " + cell(resources, "accelerators") + " accelerators";
}

std::string guaranteeText(const boost::json::value &guarantee)
{
    const boost::json::value &shape = guarantee.at("shape");
    std::string zones;
    for (const boost::json::value &zone : guarantee.at("zones").as_array()) {
        zones += (zones.empty() ? "" : "/") + std::string(zone.as_string());
    }
    return cell(guarantee, "count") + " x (" + cell(shape, "tasks") + " tasks of " + resourcesText(shape.at("perTask")) + ", " + cell(shape, "adjacency")
        + ") in " + zones;
}

}
