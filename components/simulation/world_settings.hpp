#ifndef COMPONENTS_SIMULATION_WORLD_SETTINGS_HPP
#define COMPONENTS_SIMULATION_WORLD_SETTINGS_HPP

#include "components/fleet/resources.hpp"
#include "components/fleet/time.hpp"

namespace simulation
{

/// The size of a world.
struct WorldSettings
{
    unsigned m_seed = 1;
    int m_zones = 3;
    int m_instancesPerZone = 2;
    /// Instances after this many of all have a quarter of the processor time of the others; none where it is 0.
    int m_strongInstances = 0;
    int m_workersPerZone = 4;
    int m_workersPerRack = 2;
    fleet::Resources m_workerCapacity {32'000, 64'000, 8};
    fleet::Duration m_journalRetention {std::chrono::minutes(5)};
};

}

#endif
