#ifndef COMPONENTS_SETTINGS_NODE_SETTINGS_HPP
#define COMPONENTS_SETTINGS_NODE_SETTINGS_HPP

#include "components/fleet/identifiers.hpp"
#include "components/fleet/time.hpp"
#include "components/logging/level.hpp"
#include "components/settings/client_limits.hpp"
#include "components/settings/endpoint.hpp"

namespace settings
{

class Reader;

/// Settings of an instance on the platform.
struct NodeSettings
{
    fleet::InstanceId m_instance;
    fleet::ZoneId m_zone;
    fleet::RegionId m_region;
    /// HTTP endpoint for callers.
    Endpoint m_callers;
    /// Endpoint at which the platform checks whether the instance takes new connections.
    Endpoint m_readiness;
    /// UDP endpoint for other instances.
    Endpoint m_peers;
    Endpoint m_store;
    /// The advice service; port 0 if there is none.
    Endpoint m_advice;
    /// The service that moves machines and takes them down; port 0 if there is none.
    Endpoint m_machines;
    /// HTTP endpoint for metrics; port 0 disables it.
    Endpoint m_metrics;

    /// Processor time available to the instance, in cores; 0 if unknown.
    double m_processorShare = 0;
    /// Memory of the machine in MB. The default is that of the smallest machine in use.
    std::int64_t m_memoryMb = 120;
    /// File descriptors that the process may open. The default is that of the smallest machine in use.
    std::int64_t m_descriptors = 3075;
    ClientLimits m_clients;
    /// Longest lease that a worker grants.
    fleet::Duration m_leaseLimit {6000};
    fleet::Duration m_stopGrace {200};
    /// How long the members of a gang wait on their workers for the others.
    fleet::Duration m_gangWait {3000};
    /// Guaranteed capacity becomes available within this time after a request.
    fleet::Duration m_reclaimLimit {2700};
    /// A new holder gives no order for a machine within this time, since orders of its predecessor may still be in progress.
    fleet::Duration m_machineLease {3000};
    /// A key that the operators revoked must not be accepted for longer than this.
    fleet::Duration m_keyRevocation {5000};
    /// A change of the catalog must take effect within this time.
    fleet::Duration m_catalogInForce {2000};
    /// No task may start in a zone this long after the operators took the zone out of service.
    fleet::Duration m_zoneEvacuation {5000};
    /// A run that resumes from a checkpoint works again after this time.
    fleet::Duration m_restoreTime {600};
    /// How long the upkeep of a machine takes.
    fleet::Duration m_upkeepTime {2000};
    /// The state of a job that has ended is kept for this long.
    fleet::Duration m_statusRetention {120'000};
    /// How long the store keeps records of the journal.
    fleet::Duration m_journalRetention {300'000};
    /// How long the platform waits between asking a process to stop and killing it.
    fleet::Duration m_stopLimit {6000};

    /// Scheduling decisions use the run times learned from earlier runs.
    bool m_usesLearnedRunTimes = true;

    logging::Level m_logLevel = logging::Level::Info;

    bool operator==(const NodeSettings &) const = default;
};

/// Reads and checks the settings. Throws SettingsError listing every problem.
NodeSettings readNodeSettings(Reader &reader);

}

#endif
