#include "components/instance/zone_summaries.hpp"

#include "components/instance/core.hpp"
#include "components/instance/zone_view.hpp"

namespace instance
{

namespace
{

using fleet::Resources;

/// Returns the free resources of each live worker according to the job records.
std::map<fleet::WorkerId, Resources> freeByWorker(const Core &core)
{
    std::map<fleet::WorkerId, Resources> free;
    for (const platform::WorkerEntry &worker : core.m_platform.m_list.m_workers) {
        if (!worker.m_leaving) {
            free[worker.m_info.m_id] = worker.m_info.m_capacity;
        }
    }
    for (const auto &[id, job] : core.m_records.m_state.m_jobs) {
        for (const fleet::WorkerId &worker : job.m_workers) {
            const auto found = free.find(worker);
            if (found != free.end()) {
                found->second = found->second - job.m_spec.m_shape.m_perTask;
            }
        }
    }
    return free;
}

bool hasMoreAccelerators(const Resources &a, const Resources &b)
{
    return a.m_accelerators != b.m_accelerators ? a.m_accelerators > b.m_accelerators : a.m_milliCores > b.m_milliCores;
}

void raise(Resources &largest, const Resources &candidate)
{
    if (hasMoreAccelerators(candidate, largest)) {
        largest = candidate;
    }
}

struct RackTotals
{
    Resources m_capacity;
    Resources m_free;
};

void addQueued(const Core &core, std::map<fleet::ZoneId, admission::ZoneSummary> &zones)
{
    for (const auto &[id, job] : core.m_records.m_state.m_jobs) {
        const auto zone = zones.find(job.m_zone);
        if (job.m_phase == records::JobPhase::Waiting && zone != zones.end()) {
            zone->second.m_queued = zone->second.m_queued + job.m_spec.m_shape.total();
        }
    }
}

}

std::vector<admission::ZoneSummary> summarizeZones(const Core &core)
{
    const std::map<fleet::WorkerId, Resources> free = freeByWorker(core);
    std::map<fleet::ZoneId, admission::ZoneSummary> zones;
    std::map<std::pair<fleet::ZoneId, fleet::RackId>, RackTotals> racks;
    for (const platform::WorkerEntry &worker : core.m_platform.m_list.m_workers) {
        const auto freeHere = free.find(worker.m_info.m_id);
        if (freeHere == free.end()) {
            continue;
        }
        admission::ZoneSummary &zone = zones[worker.m_info.m_zone];
        zone.m_zone = worker.m_info.m_zone;
        zone.m_out = isZoneOut(core, zone.m_zone);
        zone.m_capacity = zone.m_capacity + worker.m_info.m_capacity;
        zone.m_free = zone.m_free + freeHere->second;
        raise(zone.m_largestWorker, worker.m_info.m_capacity);
        raise(zone.m_largestFreeWorker, freeHere->second);
        RackTotals &rack = racks[{worker.m_info.m_zone, worker.m_info.m_rack}];
        rack.m_capacity = rack.m_capacity + worker.m_info.m_capacity;
        rack.m_free = rack.m_free + freeHere->second;
    }
    for (const auto &[place, rack] : racks) {
        raise(zones[place.first].m_largestRack, rack.m_capacity);
        raise(zones[place.first].m_largestFreeRack, rack.m_free);
    }
    addQueued(core, zones);
    std::vector<admission::ZoneSummary> summaries;
    summaries.reserve(zones.size());
    for (const auto &[id, zone] : zones) {
        summaries.push_back(zone);
    }
    return summaries;
}

}
