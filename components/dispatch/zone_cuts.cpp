#include "components/dispatch/zone_cuts.hpp"

#include "components/dispatch/context.hpp"

#include <string>

namespace dispatch
{

namespace
{

/// Busy workers answer one after the other, in a zone of sixteen every 0.1 s; none within this time is a sign of a partition.
constexpr fleet::Duration zoneSilence {250};
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
        const bool isIdle = worker.m_isListed && worker.m_runs.empty() && !worker.m_lookInFlight && worker.m_registration.m_zone == zone;
        if (isIdle && (idle == nullptr || worker.m_lookSentAt < idle->m_lookSentAt)) {
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

void takeUnheardZones(Context &context, const std::set<fleet::ZoneId> &unheard)
{
    std::set<fleet::ZoneId> &known = context.m_state.m_unheardZones;
    if (unheard == known) {
        return;
    }
    for (const fleet::ZoneId &zone : unheard) {
        if (!known.contains(zone)) {
            logZone(context, zone, "zone-unheard");
        }
    }
    for (const fleet::ZoneId &zone : known) {
        if (!unheard.contains(zone)) {
            logZone(context, zone, "zone-heard");
        }
    }
    known = unheard;
    context.m_state.m_planIsDue = true;
}

bool isCutOff(const Context &context, const fleet::ZoneId &zone)
{
    return context.m_state.m_unheardZones.contains(zone) && context.m_now.m_boot - latest(context.m_state.m_zoneAnsweredAt, zone) > zoneSilence;
}

void probeUnheardZones(Context &context)
{
    for (const fleet::ZoneId &zone : context.m_state.m_unheardZones) {
        if (!isCutOff(context, zone) || context.m_now.m_boot - latest(context.m_state.m_zoneProbedAt, zone) < probeInterval) {
            continue;
        }
        context.m_state.m_zoneProbedAt[zone] = context.m_now.m_boot;
        if (WorkerState *idle = findIdle(context, zone)) {
            idle->m_isProbeDue = true;
        }
    }
}

}
