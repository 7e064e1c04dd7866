#include "components/dispatch/zone_partitions.hpp"

#include "components/dispatch/context.hpp"

#include <string>

namespace dispatch
{

namespace
{

/// A zone without any answer within this time may be partitioned. Busy workers answer in turn, in a zone of sixteen workers about
/// every 0.1 s.
constexpr fleet::Duration partitionTimeout {250};
/// Interval at which an idle worker of a zone that may be partitioned is polled.
constexpr fleet::Duration probeInterval {200};

fleet::BootTime latest(const std::map<fleet::ZoneId, fleet::BootTime> &times, const fleet::ZoneId &zone)
{
    const auto found = times.find(zone);
    return found == times.end() ? fleet::BootTime() : found->second;
}

/// Returns the idle worker of the zone that was polled least recently.
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
