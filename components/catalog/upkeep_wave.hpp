#ifndef COMPONENTS_CATALOG_UPKEEP_WAVE_HPP
#define COMPONENTS_CATALOG_UPKEEP_WAVE_HPP

#include "components/fleet/boot_time.hpp"
#include "components/fleet/identifiers.hpp"
#include "components/fleet/time.hpp"

#include <cstdint>
#include <vector>

namespace catalog
{

/// Machines that have to be taken down for upkeep once each within a limited time, on request of the operators.
struct UpkeepWave
{
    std::uint64_t m_number = 0;
    std::vector<fleet::MachineId> m_machines;
    fleet::Duration m_duration {0};
    /// Maximum number of machines of the wave that may be down at the same time.
    std::uint32_t m_maxConcurrent = 1;

    /// When this instance first read the wave. m_duration counts approximately from this time.
    fleet::BootTime m_firstSeenAt;

    bool operator==(const UpkeepWave &) const = default;
};

}

#endif
