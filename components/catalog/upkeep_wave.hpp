#ifndef COMPONENTS_CATALOG_UPKEEP_WAVE_HPP
#define COMPONENTS_CATALOG_UPKEEP_WAVE_HPP

#include "components/fleet/boot_time.hpp"
#include "components/fleet/identifiers.hpp"
#include "components/fleet/time.hpp"

#include <cstdint>
#include <vector>

namespace catalog
{

/// Machines that the operators want taken down for upkeep once each, within a time.
struct UpkeepWave
{
    std::uint64_t m_number = 0;
    std::vector<fleet::MachineId> m_machines;
    fleet::Duration m_duration {0};
    /// Most machines of the wave that may be down at the same time.
    std::uint32_t m_maxConcurrent = 1;

    /// When this instance first read of it; m_duration counts from then, about.
    fleet::BootTime m_firstSeenAt;

    bool operator==(const UpkeepWave &) const = default;
};

}

#endif
