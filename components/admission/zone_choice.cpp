#include "components/admission/zone_choice.hpp"

#include <algorithm>

namespace admission
{

namespace
{

using fleet::Adjacency;

/// Returns whether a gang of the shape may fit, estimated from the totals of a zone, a rack and a worker.
bool mayFit(const fleet::Shape &shape, const fleet::Resources &zone, const fleet::Resources &rack, const fleet::Resources &worker)
{
    if (!shape.m_perTask.fitsIn(worker)) {
        return false;
    }
    switch (shape.m_adjacency) {
    case Adjacency::SameWorker:
        return shape.total().fitsIn(worker);
    case Adjacency::SameRack:
        return shape.total().fitsIn(rack);
    case Adjacency::SameZone:
        return shape.total().fitsIn(zone);
    }
    return false;
}

bool canEverRun(const fleet::Shape &shape, const ZoneSummary &zone)
{
    return mayFit(shape, zone.m_capacity, zone.m_largestRack, zone.m_largestWorker);
}

bool canStartNow(const fleet::Shape &shape, const ZoneSummary &zone)
{
    return zone.m_queued == fleet::Resources() && mayFit(shape, zone.m_free, zone.m_largestFreeRack, zone.m_largestFreeWorker);
}

bool covers(const UnfilledGuarantee &guarantee, const fleet::JobSpec &job)
{
    const fleet::Shape &shape = guarantee.m_shape;
    return guarantee.m_account == job.m_account && job.m_shape.m_tasks <= shape.m_tasks && job.m_shape.m_perTask.fitsIn(shape.m_perTask);
}

bool hasGuaranteeFor(const fleet::JobSpec &job, const ZoneSummary &zone)
{
    return std::any_of(zone.m_unfilledGuarantees.begin(), zone.m_unfilledGuarantees.end(), [&](const UnfilledGuarantee &guarantee) {
        return covers(guarantee, job);
    });
}

double ratio(std::int64_t part, std::int64_t whole)
{
    return whole > 0 ? static_cast<double>(part) / static_cast<double>(whole) : 0.0;
}

/// Used and queued resources divided by capacity: of accelerators if the job needs them, otherwise of processors.
double load(const fleet::JobSpec &job, const ZoneSummary &zone)
{
    const fleet::Resources demand = zone.m_capacity - zone.m_free + zone.m_queued;
    if (job.m_shape.m_perTask.m_accelerators > 0) {
        return ratio(demand.m_accelerators, zone.m_capacity.m_accelerators);
    }
    return ratio(demand.m_milliCores, zone.m_capacity.m_milliCores);
}

/// Rank of a zone for a job; the lowest rank is the best.
struct Rank
{
    bool m_cannotEverRun = false;
    bool m_hasNoGuarantee = false;
    bool m_mustWait = false;
    double m_load = 0.0;

    auto operator<=>(const Rank &) const = default;
};

Rank rank(const fleet::JobSpec &job, const ZoneSummary &zone)
{
    const bool startsNow = canStartNow(job.m_shape, zone);
    const double zoneLoad = load(job, zone);
    return {!canEverRun(job.m_shape, zone), !hasGuaranteeFor(job, zone), !startsNow, startsNow ? -zoneLoad : zoneLoad};
}

}

std::optional<fleet::ZoneId> chooseZone(const fleet::JobSpec &job, const std::vector<ZoneSummary> &zones)
{
    if (!job.m_zone.empty()) {
        return job.m_zone;
    }
    const ZoneSummary *best = nullptr;
    for (const ZoneSummary &zone : zones) {
        if (zone.m_out) {
            continue;
        }
        if (best == nullptr || rank(job, zone) < rank(job, *best)) {
            best = &zone;
        }
    }
    return best == nullptr ? std::nullopt : std::optional(best->m_zone);
}

}
