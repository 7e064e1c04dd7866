#include "components/standin/stand_in_settings.hpp"

#include "components/settings/reader.hpp"

#include <limits>
#include <map>

namespace standin
{

namespace
{

using namespace std::chrono_literals;

constexpr std::int64_t maxTargets = 1000;
constexpr fleet::Duration maxDuration = 31 * 24h;

std::uint16_t readPort(settings::Reader &reader, const std::string &key)
{
    return static_cast<std::uint16_t>(reader.integer(key, 0, 0, std::numeric_limits<std::uint16_t>::max()));
}

int readCount(settings::Reader &reader, const std::string &key, int fallback, int least)
{
    return static_cast<int>(reader.integer(key, fallback, least, maxTargets));
}

void readInstances(settings::Reader &reader, StandInSettings &result)
{
    const auto count = reader.arraySize("instance");
    for (std::size_t i = 0; i < count; ++i) {
        const auto key = "instance." + std::to_string(i) + ".";
        const auto id = reader.requiredText(key + "instance");
        const auto zone = reader.requiredText(key + "zone");
        const auto endpoint = reader.requiredEndpoint(key + "endpoint");
        result.m_instances.push_back({fleet::InstanceId(id), fleet::ZoneId(zone), {endpoint.m_address, endpoint.m_port}, false});
    }
}

void readWorkers(settings::Reader &reader, StandInSettings &result)
{
    constexpr std::int64_t maxAmount = 100'000'000;
    auto &capacity = result.m_workerCapacity;
    result.m_workers = readCount(reader, "workers.count", result.m_workers, 0);
    result.m_workersPerRack = readCount(reader, "workers.per_rack", result.m_workersPerRack, 1);
    capacity.m_milliCores = reader.integer("workers.milli_cores", capacity.m_milliCores, 1, maxAmount);
    capacity.m_memoryMb = reader.integer("workers.memory_mb", capacity.m_memoryMb, 1, maxAmount);
    capacity.m_accelerators = reader.integer("workers.accelerators", capacity.m_accelerators, 0, maxAmount);
    result.m_workerPortBase = readPort(reader, "workers.port_base");
    result.m_taskRunTime = reader.duration("workers.task_run_time", result.m_taskRunTime, 1ms, maxDuration);
}

void readRunners(settings::Reader &reader, StandInSettings &result)
{
    result.m_runners = readCount(reader, "runners.count", result.m_runners, 0);
    result.m_runnerSlots = readCount(reader, "runners.slots", result.m_runnerSlots, 1);
    result.m_runnerConnections = readCount(reader, "runners.connections", result.m_runnerConnections, 1);
    result.m_runnerPortBase = readPort(reader, "runners.port_base");
    result.m_requestRunTime = reader.duration("runners.request_run_time", result.m_requestRunTime, 0ms, maxDuration);
}

/// Consecutive fixed ports configured by one key.
struct PortRange
{
    std::string m_key;
    int m_first = 0;
    int m_count = 1;
};

void checkPorts(settings::Reader &reader, const std::vector<PortRange> &ranges)
{
    std::map<int, std::string> taken;
    for (const auto &range : ranges) {
        for (int port = range.m_first; range.m_first > 0 && port < range.m_first + range.m_count; ++port) {
            const auto [entry, isFree] = taken.emplace(port, range.m_key);
            if (!isFree || port > std::numeric_limits<std::uint16_t>::max()) {
                const auto why = isFree ? "is above 65535" : "is taken by " + entry->second;
                reader.report(range.m_key, "port " + std::to_string(port) + " " + why, "set another port, or 0 for a free one");
                break;
            }
        }
    }
}

}

StandInSettings readStandInSettings(settings::Reader &reader)
{
    StandInSettings result;
    result.m_address = reader.text("address", result.m_address);
    result.m_controlPort = readPort(reader, "control_port");
    result.m_logPort = readPort(reader, "log_port");
    result.m_listPort = readPort(reader, "list_port");
    for (const auto &zone : reader.requiredTexts("zones")) {
        result.m_zones.emplace_back(zone);
    }
    result.m_logRetention = reader.duration("log_retention", result.m_logRetention, 1s, maxDuration);
    result.m_listLag = reader.duration("list_lag", result.m_listLag, 0ms, maxDuration);
    result.m_usageLag = reader.duration("usage_lag", result.m_usageLag, 0ms, maxDuration);
    result.m_relaySeed = static_cast<std::uint32_t>(reader.integer("relay_seed", result.m_relaySeed, 0, std::numeric_limits<std::uint32_t>::max()));
    readInstances(reader, result);
    readWorkers(reader, result);
    readRunners(reader, result);
    checkPorts(reader,
               {{"control_port", result.m_controlPort},
                {"log_port", result.m_logPort},
                {"list_port", result.m_listPort},
                {"workers.port_base", result.m_workerPortBase, result.m_workers},
                {"runners.port_base", result.m_runnerPortBase, result.m_runners}});
    reader.finish();
    return result;
}

}
