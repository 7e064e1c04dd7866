#include "components/settings/node_settings.hpp"

#include "components/node/timing.hpp"
#include "components/settings/reader.hpp"

#include <algorithm>

namespace settings
{

namespace
{

/// More cores than any machine has.
constexpr double maxCores = 1000;
constexpr std::int64_t bytesPerMb = std::int64_t {1} << 20;
constexpr std::int64_t minMemoryMb = 16;
constexpr std::int64_t maxMemoryMb = std::int64_t {1} << 24;
constexpr std::int64_t minDescriptors = 512;
constexpr std::int64_t maxDescriptors = std::int64_t {1} << 24;
/// Descriptors that an instance keeps for files.
constexpr std::int64_t fileDescriptors = 200;
/// Part of the memory that clients may hold.
constexpr std::int64_t clientMemoryFraction = 8;
/// Room for a body of the default maximum and for the reserves, also on a machine smaller than any in use.
constexpr std::int64_t minClientBytes = 6 * bytesPerMb;
/// Ordinary load holds a few MB, so a large machine has no use for more.
constexpr std::int64_t maxClientBytes = 256 * bytesPerMb;
/// An idle connection takes about 3 KB of the process and as much of the kernel, so these take up to a tenth of the memory.
constexpr std::int64_t connectionsPerMb = 16;
constexpr std::int64_t maxConnections = 65'536;
/// The reserves for readiness and metrics, and as many for callers.
constexpr std::int64_t minConnections = 3 * reservedConnections;
/// The memory of a body that grows chunk by chunk may be twice its size.
constexpr std::int64_t bodyGrowthFactor = 2;

/// Number of clients' connections for a process that may open `descriptors` on a machine with this memory.
std::int64_t connectionsFor(std::int64_t descriptors, std::int64_t memoryMb)
{
    return std::clamp(std::min((descriptors - fileDescriptors) * 3 / 5, memoryMb * connectionsPerMb), minConnections, maxConnections);
}

ClientLimits readClientLimits(Reader &reader, std::int64_t memoryMb, std::int64_t descriptors)
{
    using namespace std::chrono_literals;
    ClientLimits limits;
    const std::int64_t heldBytes = std::clamp(memoryMb * bytesPerMb / clientMemoryFraction, minClientBytes, maxClientBytes);
    limits.m_heldBytes = reader.integer("clients.held_bytes", heldBytes, 4 * bytesPerMb, maxMemoryMb * bytesPerMb);
    limits.m_connections = reader.integer("clients.connections", connectionsFor(descriptors, memoryMb), minConnections, maxConnections);
    limits.m_maxBody = reader.integer("clients.max_body_bytes", limits.m_maxBody, 1024, 64 * bytesPerMb);
    limits.m_maxHeader = reader.integer("clients.max_header_bytes", limits.m_maxHeader, 1024, bytesPerMb);
    limits.m_maxHeaderLines = reader.integer("clients.max_header_lines", limits.m_maxHeaderLines, 16, 10'000);
    limits.m_headerTimeout = reader.duration("clients.header_timeout", limits.m_headerTimeout, 100ms, 1min);
    limits.m_bodyTimeout = reader.duration("clients.body_timeout", limits.m_bodyTimeout, 1s, 10min);
    limits.m_bodyGrace = reader.duration("clients.body_grace", limits.m_bodyGrace, 100ms, 10min);
    limits.m_bodyRate = reader.integer("clients.body_rate", limits.m_bodyRate, 1, 1000 * bytesPerMb);
    limits.m_writeTimeout = reader.duration("clients.write_timeout", limits.m_writeTimeout, 1s, 10min);
    limits.m_idleTimeout = reader.duration("clients.idle_timeout", limits.m_idleTimeout, 1s, 1h);
    return limits;
}

/// Reports limits of clients that contradict each other or the machine.
void checkClientLimits(Reader &reader, const NodeSettings &settings)
{
    const ClientLimits &limits = settings.m_clients;
    if (limits.m_heldBytes > settings.m_memoryMb * bytesPerMb / 2) {
        reader.report("clients.held_bytes", "must be at most half of machine.memory", "lower clients.held_bytes or set machine.memory");
    }
    if (limits.m_heldBytes - reservedReadinessBytes - reservedMetricsBytes < bodyGrowthFactor * limits.m_maxBody + limits.m_maxHeader) {
        reader.report("clients.max_body_bytes",
                      "does not fit twice into clients.held_bytes without the 3 MB for readiness and metrics",
                      "lower clients.max_body_bytes or raise clients.held_bytes");
    }
    if (limits.m_connections > settings.m_descriptors - fileDescriptors) {
        reader.report(
            "clients.connections", "must be at most machine.descriptors less the 200 for files", "lower clients.connections or set machine.descriptors");
    }
    if (limits.m_bodyGrace > limits.m_bodyTimeout) {
        reader.report("clients.body_grace", "must be at most clients.body_timeout", "shorten clients.body_grace or lengthen clients.body_timeout");
    }
}

/// Reports bounds that contradict each other.
void checkRelations(Reader &reader, const NodeSettings &settings)
{
    if (settings.m_stopGrace >= settings.m_leaseLimit) {
        reader.report("bounds.task_stop",
                      "must be shorter than bounds.lease, since the lease is the last means of ending a run",
                      "shorten bounds.task_stop or lengthen bounds.lease");
    }
    if (settings.m_stopGrace >= settings.m_reclaimLimit) {
        reader.report("bounds.reclaim",
                      "must be longer than bounds.task_stop, since capacity is reclaimed by stopping runs",
                      "lengthen bounds.reclaim or shorten bounds.task_stop");
    }
}

}

NodeSettings readNodeSettings(Reader &reader)
{
    using namespace std::chrono_literals;
    NodeSettings settings;
    settings.m_instance = fleet::InstanceId(reader.requiredText("instance"));
    settings.m_zone = fleet::ZoneId(reader.requiredText("zone"));
    settings.m_region = fleet::RegionId(reader.requiredText("region"));
    settings.m_callers = reader.requiredEndpoint("listen.callers");
    settings.m_readiness = reader.requiredEndpoint("listen.readiness");
    settings.m_peers = reader.requiredEndpoint("listen.peers");
    settings.m_store = reader.requiredEndpoint("platform.store");
    settings.m_advice = reader.endpoint("platform.advice", settings.m_advice);
    settings.m_machines = reader.endpoint("platform.machines", settings.m_machines);
    settings.m_metrics = reader.endpoint("listen.metrics", settings.m_metrics);
    settings.m_processorShare
        = reader.number("machine.processor_share", settings.m_processorShare, 0, maxCores) * reader.number("machine.processor_speed", 1, 0, maxCores);
    settings.m_memoryMb = static_cast<std::int64_t>(
        reader.number("machine.memory", static_cast<double>(settings.m_memoryMb), static_cast<double>(minMemoryMb), static_cast<double>(maxMemoryMb)));
    settings.m_descriptors = reader.integer("machine.descriptors", settings.m_descriptors, minDescriptors, maxDescriptors);
    settings.m_clients = readClientLimits(reader, settings.m_memoryMb, settings.m_descriptors);
    settings.m_leaseLimit = reader.duration("bounds.lease", settings.m_leaseLimit, 500ms, 10min);
    settings.m_stopGrace = reader.duration("bounds.task_stop", settings.m_stopGrace, 0ms, 1min);
    settings.m_gangWait = reader.duration("bounds.gang_wait", settings.m_gangWait, 100ms, 10min);
    settings.m_reclaimLimit = reader.duration("bounds.reclaim", settings.m_reclaimLimit, 100ms, 10min);
    settings.m_machineLease = reader.duration("bounds.machine_lease", settings.m_machineLease, 0ms, 1min);
    settings.m_keyRevocation = reader.duration("bounds.key_revocation", settings.m_keyRevocation, node::minOperatorChangeBound + node::revocationMargin, 1h);
    settings.m_catalogInForce = reader.duration("bounds.catalog_in_force", settings.m_catalogInForce, node::minOperatorChangeBound, 1min);
    settings.m_zoneEvacuation = reader.duration("bounds.zone_evacuation", settings.m_zoneEvacuation, node::minOperatorChangeBound, 1min);
    settings.m_restoreTime = reader.duration("bounds.restore", settings.m_restoreTime, 0ms, 10min);
    settings.m_upkeepTime = reader.duration("bounds.upkeep", settings.m_upkeepTime, 0ms, 24h);
    settings.m_statusRetention = reader.duration("bounds.status_retention", settings.m_statusRetention, 1s, 24h);
    settings.m_journalRetention = reader.duration("bounds.journal_retention", settings.m_journalRetention, 1s, 720h);
    settings.m_stopLimit = reader.duration("bounds.stop_limit", settings.m_stopLimit, 1s, 1h);
    settings.m_usesLearnedRunTimes = reader.boolean("scheduling.learned_run_times", settings.m_usesLearnedRunTimes);
    settings.m_logLevel = reader.level("log.level", settings.m_logLevel);
    checkRelations(reader, settings);
    checkClientLimits(reader, settings);
    reader.finish();
    return settings;
}

}
