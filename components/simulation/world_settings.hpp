#ifndef COMPONENTS_SIMULATION_WORLD_SETTINGS_HPP
#define COMPONENTS_SIMULATION_WORLD_SETTINGS_HPP

#include "components/fleet/resources.hpp"
#include "components/fleet/time.hpp"
#include "components/node/settings.hpp"

namespace simulation
{

/// Size and seed of a simulated site.
struct WorldSettings
{
    unsigned m_seed = 1;
    int m_zones = 3;
    int m_instancesPerZone = 2;
    /// Instances beyond this number get about a quarter of the processor time of the others. With 0 all are equal.
    int m_strongInstances = 0;
    int m_workersPerZone = 4;
    int m_workersPerRack = 2;
    fleet::Resources m_workerCapacity {32'000, 64'000, 8};
    /// Maximum of the account "account" in the first catalog.
    fleet::Resources m_accountMaximum;
    /// Every second worker has this many times the capacity, and takes this many times as long for a task.
    int m_capacityFactor = 1;
    int m_slownessFactor = 1;
    /// One-way latency between an instance and the store, a worker or another instance.
    fleet::Duration m_oneWayLatency {1};
    fleet::Duration m_journalRetention {std::chrono::minutes(5)};
    /// Bounds of the deployment; identity and address of an instance are not taken from here.
    node::Settings m_bounds;
};

}

#endif
