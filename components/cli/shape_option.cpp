#include "components/cli/shape_option.hpp"

#include "components/api/error.hpp"
#include "components/api/fleet_json.hpp"
#include "components/cli/arguments.hpp"
#include "components/cli/command_error.hpp"

#include <sstream>

namespace cli
{

namespace
{

constexpr std::int64_t milliCoresPerCore = 1000;

std::vector<std::string> split(const std::string &text, char separator)
{
    std::vector<std::string> parts;
    std::istringstream stream(text);
    for (std::string part; std::getline(stream, part, separator);)
        parts.push_back(part);
    return parts;
}

struct Pair
{
    std::string m_key;
    std::string m_value;
};

std::vector<Pair> readPairs(const std::string &text)
{
    std::vector<Pair> pairs;
    for (const std::string &part : split(text, ',')) {
        const std::size_t equals = part.find('=');
        if (equals == std::string::npos)
            throw CommandError(ExitCode::Usage, "'" + part + "' is not of the form name=value; see --help");
        pairs.push_back({part.substr(0, equals), part.substr(equals + 1)});
    }
    return pairs;
}

bool readResource(fleet::Resources &resources, const Pair &pair)
{
    if (pair.m_key == "accelerators")
        resources.m_accelerators = parseInteger(pair.m_value, pair.m_key);
    else if (pair.m_key == "cores")
        resources.m_milliCores = parseInteger(pair.m_value, pair.m_key) * milliCoresPerCore;
    else if (pair.m_key == "memory-mb")
        resources.m_memoryMb = parseInteger(pair.m_value, pair.m_key);
    else
        return false;
    return true;
}

bool readShapePart(fleet::GuaranteedShape &guarantee, const Pair &pair)
{
    if (pair.m_key == "tasks") {
        guarantee.m_shape.m_tasks = static_cast<int>(parseInteger(pair.m_value, pair.m_key));
    } else if (pair.m_key == "count") {
        guarantee.m_count = static_cast<int>(parseInteger(pair.m_value, pair.m_key));
    } else if (pair.m_key == "adjacency") {
        guarantee.m_shape.m_adjacency = api::readAdjacency(pair.m_value);
    } else if (pair.m_key == "zones") {
        for (const std::string &zone : split(pair.m_value, '/'))
            guarantee.m_zones.emplace_back(zone);
    } else {
        return false;
    }
    return true;
}

[[noreturn]] void refuseUnknown(const Pair &pair)
{
    throw CommandError(ExitCode::Usage, "'" + pair.m_key + "' is unknown; see --help");
}

}

fleet::GuaranteedShape parseGuarantee(const std::string &text)
{
    fleet::GuaranteedShape guarantee;
    try {
        for (const Pair &pair : readPairs(text)) {
            if (!readResource(guarantee.m_shape.m_perTask, pair) && !readShapePart(guarantee, pair))
                refuseUnknown(pair);
        }
    } catch (const api::Error &error) {
        throw CommandError(ExitCode::Usage, error.what());
    }
    return guarantee;
}

fleet::Resources parseResources(const std::string &text)
{
    fleet::Resources resources;
    for (const Pair &pair : readPairs(text)) {
        if (!readResource(resources, pair))
            refuseUnknown(pair);
    }
    return resources;
}

}
