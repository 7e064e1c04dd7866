#include "components/settings/node_settings.hpp"

#include "components/node/timing.hpp"
#include "components/settings/reader.hpp"

namespace settings
{

namespace
{

/// More cores than any machine has.
constexpr double maxCores = 1000;

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
    reader.finish();
    return settings;
}

}
