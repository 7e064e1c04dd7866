#ifndef COMPONENTS_STANDIN_STAND_IN_SETTINGS_HPP
#define COMPONENTS_STANDIN_STAND_IN_SETTINGS_HPP

#include "components/fleet/identifiers.hpp"
#include "components/fleet/resources.hpp"
#include "components/fleet/time.hpp"
#include "components/platform/instance_entry.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace settings
{
class Reader;
}

namespace standin
{

/// Contents of the stand-in's settings file.
struct StandInSettings
{
    /// IP address that every port is bound to.
    std::string m_address = "127.0.0.1";
    /// For this and the following ports, 0 lets the kernel choose a free port.
    std::uint16_t m_controlPort = 0;
    std::uint16_t m_logPort = 0;
    std::uint16_t m_listPort = 0;
    /// Port of the first worker; the other workers use the following ports. 0 uses free ports.
    std::uint16_t m_workerPortBase = 0;
    std::uint16_t m_runnerPortBase = 0;

    /// Availability zones. Racks and runners are distributed over them round-robin.
    std::vector<fleet::ZoneId> m_zones;
    std::vector<platform::InstanceEntry> m_instances;

    /// Seed for the relay's choice of datagrams to drop, duplicate and reorder.
    std::uint32_t m_relaySeed = 1;

    fleet::Duration m_logRetention {std::chrono::hours(24)};
    fleet::Duration m_listLag {1000};
    fleet::Duration m_usageLag {2000};

    int m_workers = 6;
    int m_workersPerRack = 2;
    fleet::Resources m_workerCapacity {32'000, 64'000, 8};
    /// Run time of a task whose start command does not specify one.
    fleet::Duration m_taskRunTime {20'000};

    int m_runners = 3;
    int m_runnerSlots = 8;
    int m_runnerConnections = 60;
    /// Time that a runner takes for one request.
    fleet::Duration m_requestRunTime {20};

    bool operator==(const StandInSettings &) const = default;
};

/// Reads and checks the settings.
/// @throws settings::SettingsError listing every problem.
StandInSettings readStandInSettings(settings::Reader &reader);

}

#endif
