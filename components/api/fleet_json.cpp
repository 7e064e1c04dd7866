#include "components/api/fleet_json.hpp"

#include "components/api/error.hpp"
#include "components/api/object_reader.hpp"

#include <boost/json.hpp>

#include <algorithm>
#include <array>
#include <string>

namespace api
{

namespace
{

constexpr std::int64_t maxMilliCores = 1'000'000'000;
constexpr std::int64_t maxMemoryMb = 1'000'000'000;
constexpr std::int64_t maxAccelerators = 1'000'000;
constexpr int maxTasks = 4096;
constexpr int maxGuaranteeCount = 1000;
constexpr std::int64_t maxRunTimeMs = 90LL * 24 * 3600 * 1000;
constexpr std::size_t maxNameLength = 64;

constexpr std::array<std::string_view, 3> adjacencyNames = {"same-zone", "same-rack", "same-worker"};
constexpr std::array<std::string_view, 3> urgencyNames = {"background", "normal", "urgent"};

template<class Enum, std::size_t Size>
Enum readEnum(const std::array<std::string_view, Size> &names, std::string_view name, std::string_view what)
{
    const auto found = std::find(names.begin(), names.end(), name);
    if (found != names.end()) {
        return static_cast<Enum>(found - names.begin());
    }
    std::string known;
    for (const std::string_view candidate : names) {
        known.append(known.empty() ? "" : ", ").append(candidate);
    }
    throw Error(ErrorKind::BadRequest, std::string(what) + " '" + std::string(name) + "' is unknown; use one of " + known);
}

bool isNameCharacter(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '.' || c == '-' || c == '_';
}

}

std::string_view adjacencyName(fleet::Adjacency adjacency)
{
    return adjacencyNames.at(static_cast<std::size_t>(adjacency));
}

std::string_view urgencyName(fleet::Urgency urgency)
{
    return urgencyNames.at(static_cast<std::size_t>(urgency));
}

fleet::Adjacency readAdjacency(std::string_view name)
{
    return readEnum<fleet::Adjacency>(adjacencyNames, name, "adjacency");
}

fleet::Urgency readUrgency(std::string_view name)
{
    return readEnum<fleet::Urgency>(urgencyNames, name, "urgency");
}

void checkName(std::string_view text, std::string_view what)
{
    if (text.empty() || text.size() > maxNameLength || !std::all_of(text.begin(), text.end(), isNameCharacter)) {
        throw Error(ErrorKind::BadRequest,
                    std::string(what) + " '" + std::string(text.substr(0, maxNameLength))
                        + "' is not a valid name; use 1 to 64 letters, digits, dots, dashes and underscores");
    }
}

boost::json::value toJson(const fleet::Resources &resources)
{
    return {{"milliCores", resources.m_milliCores}, {"memoryMb", resources.m_memoryMb}, {"accelerators", resources.m_accelerators}};
}

boost::json::value toJson(const fleet::Shape &shape)
{
    return {{"tasks", shape.m_tasks}, {"perTask", toJson(shape.m_perTask)}, {"adjacency", adjacencyName(shape.m_adjacency)}};
}

boost::json::value toJson(const fleet::GuaranteedShape &guarantee)
{
    boost::json::array zones;
    for (const fleet::ZoneId &zone : guarantee.m_zones) {
        zones.emplace_back(zone.value());
    }
    return {{"shape", toJson(guarantee.m_shape)}, {"count", guarantee.m_count}, {"zones", std::move(zones)}};
}

boost::json::value toJson(const fleet::AccountPolicy &policy)
{
    boost::json::array guarantees;
    for (const fleet::GuaranteedShape &guarantee : policy.m_guarantees) {
        guarantees.push_back(toJson(guarantee));
    }
    return {{"account", policy.m_account.value()},
            {"guarantees", std::move(guarantees)},
            {"quota", toJson(policy.m_quota)},
            {"urgentPerHour", policy.m_urgentPerHour},
            {"weight", policy.m_weight}};
}

boost::json::value toJson(const fleet::JobSpec &spec)
{
    return {{"id", spec.m_id.value()},
            {"account", spec.m_account.value()},
            {"kind", spec.m_kind},
            {"shape", toJson(spec.m_shape)},
            {"urgency", urgencyName(spec.m_urgency)},
            {"declaredRunTimeMs", spec.m_declaredRunTime.count()},
            {"checkpointable", spec.m_checkpointable},
            {"zone", spec.m_zone.value()},
            {"submittedAt", fleet::toMilliseconds(spec.m_submittedAt)}};
}

fleet::Resources readResources(const boost::json::value &value)
{
    ObjectReader reader(value, "resources");
    fleet::Resources resources;
    resources.m_milliCores = reader.integer("milliCores", 0, maxMilliCores, 0);
    resources.m_memoryMb = reader.integer("memoryMb", 0, maxMemoryMb, 0);
    resources.m_accelerators = reader.integer("accelerators", 0, maxAccelerators, 0);
    reader.rejectUnreadMembers();
    return resources;
}

fleet::Shape readShape(const boost::json::value &value)
{
    ObjectReader reader(value, "shape");
    fleet::Shape shape;
    shape.m_tasks = static_cast<int>(reader.integer("tasks", 1, maxTasks));
    shape.m_perTask = readResources(reader.member("perTask"));
    shape.m_adjacency = readAdjacency(reader.text("adjacency", "same-zone"));
    reader.rejectUnreadMembers();
    return shape;
}

fleet::GuaranteedShape readGuarantee(const boost::json::value &value)
{
    ObjectReader reader(value, "guarantee");
    fleet::GuaranteedShape guarantee;
    guarantee.m_shape = readShape(reader.member("shape"));
    guarantee.m_count = static_cast<int>(reader.integer("count", 1, maxGuaranteeCount, 1));
    for (const boost::json::value &zone : reader.list("zones")) {
        if (!zone.is_string()) {
            throw Error(ErrorKind::BadRequest, "guarantee: a zone is not a string; put its name in quotes");
        }
        const std::string name(zone.as_string());
        checkName(name, "zone");
        guarantee.m_zones.emplace_back(name);
    }
    reader.rejectUnreadMembers();
    return guarantee;
}

fleet::JobSpec readJobSpec(const boost::json::value &value)
{
    ObjectReader reader(value, "job");
    fleet::JobSpec spec;
    spec.m_account = fleet::AccountId(reader.text("account"));
    checkName(spec.m_account.value(), "account");
    spec.m_kind = reader.text("kind");
    checkName(spec.m_kind, "kind");
    spec.m_shape = readShape(reader.member("shape"));
    spec.m_urgency = readUrgency(reader.text("urgency", "normal"));
    spec.m_declaredRunTime = fleet::Duration(reader.integer("declaredRunTimeMs", 1, maxRunTimeMs));
    spec.m_checkpointable = reader.flag("checkpointable", false);
    const std::string zone = reader.text("zone", "");
    if (!zone.empty()) {
        checkName(zone, "zone");
    }
    spec.m_zone = fleet::ZoneId(zone);
    if (reader.has("id")) {
        spec.m_id = fleet::JobId(reader.text("id"));
        checkName(spec.m_id.value(), "job id");
    }
    reader.rejectUnreadMembers();
    return spec;
}

}
