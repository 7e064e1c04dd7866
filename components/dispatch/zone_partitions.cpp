#include "components/dispatch/zone_partitions.hpp"

#include "components/dispatch/context.hpp"

#include <string>

namespace dispatch
{

namespace
{

/// Busy workers answer one after the other, in a zone of sixteen every 0.1 s; none within this time is a sign of a partition.
constexpr fleet::Duration partitionTimeout {250};
/// An idle worker of a zone that may be cut off is asked this often.
constexpr fleet::Duration probeInterval {200};

fleet::BootTime latest(const std::map<fleet::ZoneId, fleet::BootTime> &times, const fleet::ZoneId &zone)
{
    const auto found = times.find(zone);
    return found == times.end() ? fleet::BootTime() : found->second;
}

/// The idle worker of the zone that was asked longest ago.
WorkerState *findIdle(Context &context, const fleet::ZoneId &zone)
{
    WorkerState *idle = nullptr;
    for (auto &[id, worker] : context.m_state.m_workers) {
        const bool isIdle = worker.m_isListed && worker.m_runs.empty() && !worker.m_pollInFlight && worker.m_registration.m_zone == zone;
        if (isIdle && (idle == nullptr || worker.m_pollSentAt < idle->m_pollSentAt)) {
            idle = &worker;
        }
    }
    return idle;
}

void logZone(Context &context, const fleet::ZoneId &zone, const char *event)
{
    context.m_out.m_log.push_back(logging::Line("dispatch", event)
                                      .add("zone", zone.value())
                                      .add("worker_answered_ms", context.m_now.m_boot - latest(context.m_state.m_zoneAnsweredAt, zone)));
}

}

void updateSuspectedZones(Context &context, const std::set<fleet::ZoneId> &suspected)
{
    std::set<fleet::ZoneId> &known = context.m_state.m_suspectedZones;
    if (suspected == known) {
        return;
    }
    for (const fleet::ZoneId &zone : suspected) {
        if (!known.contains(zone)) {
            logZone(context, zone, "zone-unheard");
        }
    }
    for (const fleet::ZoneId &zone : known) {
        if (!suspected.contains(zone)) {
            logZone(context, zone, "zone-heard");
        }
    }
    known = suspected;
    context.m_state.m_planIsDue = true;
}

bool isPartitioned(const Context &context, const fleet::ZoneId &zone)
{
    return context.m_state.m_suspectedZones.contains(zone) && context.m_now.m_boot - latest(context.m_state.m_zoneAnsweredAt, zone) > partitionTimeout;
}

void probeSuspectedZones(Context &context)
{
    for (const fleet::ZoneId &zone : context.m_state.m_suspectedZones) {
        if (!isPartitioned(context, zone) || context.m_now.m_boot - latest(context.m_state.m_zoneProbedAt, zone) < probeInterval) {
            continue;
        }
        context.m_state.m_zoneProbedAt[zone] = context.m_now.m_boot;
        if (WorkerState *idle = findIdle(context, zone)) {
            idle->m_isProbeDue = true;
        }
    }
}

}
