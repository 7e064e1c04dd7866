#include "components/platform_standin/settings.hpp"

#include "components/settings/reader.hpp"

#include <limits>

namespace platform_standin
{

namespace
{

constexpr std::int64_t maxWorkers = 500;
constexpr std::int64_t maxResourceAmount = 100'000'000;

std::uint16_t readPort(settings::Reader &reader, const std::string &key)
{
    return static_cast<std::uint16_t>(reader.integer(key, 0, 0, std::numeric_limits<std::uint16_t>::max()));
}

}

Settings readSettings(settings::Reader &reader)
{
    Settings result;
    result.m_address = reader.text("address", result.m_address);
    result.m_storePort = readPort(reader, "store_port");
    result.m_ingressPort = readPort(reader, "ingress_port");
    result.m_controlPort = readPort(reader, "control_port");
    result.m_catalogFile = reader.requiredText("catalog");
    for (const std::string &zone : reader.requiredTexts("zones")) {
        result.m_zones.emplace_back(zone);
    }
    result.m_workersPerZone = static_cast<int>(reader.integer("workers.per_zone", result.m_workersPerZone, 1, maxWorkers));
    result.m_workersPerRack = static_cast<int>(reader.integer("workers.per_rack", result.m_workersPerRack, 1, maxWorkers));
    fleet::Resources &capacity = result.m_workerCapacity;
    capacity.m_milliCores = reader.integer("workers.milli_cores", capacity.m_milliCores, 1, maxResourceAmount);
    capacity.m_memoryMb = reader.integer("workers.memory_mb", capacity.m_memoryMb, 1, maxResourceAmount);
    capacity.m_accelerators = reader.integer("workers.accelerators", capacity.m_accelerators, 0, maxResourceAmount);
    const std::size_t instances = reader.arraySize("front");
    for (std::size_t i = 0; i < instances; ++i) {
        const std::string key = "front." + std::to_string(i) + '.';
        const settings::Endpoint callers = reader.requiredEndpoint(key + "callers");
        result.m_instances.push_back({callers, reader.requiredEndpoint(key + "readiness")});
    }
    reader.finish();
    return result;
}

}
