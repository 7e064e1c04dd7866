#ifndef COMPONENTS_PLATFORM_STANDIN_SETTINGS_HPP
#define COMPONENTS_PLATFORM_STANDIN_SETTINGS_HPP

#include "components/fleet/identifiers.hpp"
#include "components/fleet/resources.hpp"
#include "components/platform_standin/instance_endpoints.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace settings
{
class Reader;
}

namespace platform_standin
{

/// Settings of the platform stand-in.
struct Settings
{
    /// IP address that every port is bound to.
    std::string m_address = "127.0.0.1";
    /// With port 0 the kernel picks a free port, here and below.
    std::uint16_t m_storePort = 0;
    /// Port that callers connect to.
    std::uint16_t m_ingressPort = 0;
    std::uint16_t m_controlPort = 0;
    std::vector<fleet::ZoneId> m_zones;
    int m_workersPerZone = 4;
    int m_workersPerRack = 2;
    fleet::Resources m_workerCapacity {32'000, 64'000, 8};
    std::vector<InstanceEndpoints> m_instances;
    /// File with the initial catalog, in the operators' format.
    std::string m_catalogFile;

    bool operator==(const Settings &) const = default;
};

/// Reads and checks the settings.
/// @throws settings::SettingsError that lists every problem.
Settings readSettings(settings::Reader &reader);

}

#endif
