#include "components/experiment/sampling.hpp"

#include "components/experiment/free_capacity.hpp"
#include "components/experiment/run_state.hpp"

#include <algorithm>

namespace experiment
{

namespace
{

/// Time after a zone's return that still counts as a zone change.
constexpr fleet::Duration zoneReturnPeriod = std::chrono::minutes(30);

std::vector<FreeWorker> freeWorkers(const RunState &run, std::size_t zone)
{
    std::map<fleet::RackId, std::size_t> racks;
    std::vector<FreeWorker> workers;
    for (const WorkerRun &worker : run.m_workers) {
        if (worker.m_zone != zone || !worker.m_fake.m_alive || worker.m_leavingSince) {
            continue;
        }
        const std::size_t rack = racks.try_emplace(worker.m_fake.m_info.m_rack, racks.size()).first->second;
        workers.push_back({rack, worker.m_fake.m_info.m_capacity - leasedResources(worker.m_fake)});
    }
    return workers;
}

std::vector<fleet::Shape> waitingShapes(const RunState &run, const ZoneRun &zone)
{
    std::vector<fleet::Shape> shapes;
    for (const std::size_t job : zone.m_waiting) {
        if (!run.m_jobs[job].m_impossible) {
            shapes.push_back(run.m_jobs[job].m_spec.m_shape);
        }
    }
    return shapes;
}

void sampleFragmentation(RunState &run, std::size_t zone)
{
    const std::vector<FreeWorker> workers = freeWorkers(run, zone);
    const std::int64_t free = freeAccelerators(workers);
    if (free == 0) {
        return;
    }
    Samples &samples = run.m_samples;
    samples.m_free += static_cast<double>(free);
    samples.m_unusable += static_cast<double>(unusableAccelerators(workers, waitingShapes(run, run.m_zones[zone])));
    samples.m_largestGangShare += static_cast<double>(largestRackGang(workers)) / static_cast<double>(free);
    ++samples.m_gangSamples;
}

std::int64_t workingAccelerators(const FakeWorker &worker)
{
    std::int64_t working = 0;
    for (const auto &[task, lease] : worker.m_leases) {
        working += lease.m_running ? lease.m_resources.m_accelerators : 0;
    }
    return working;
}

bool isZoneChange(const RunState &run, fleet::TimePoint now)
{
    return std::any_of(run.m_faults.m_faults.begin(), run.m_faults.m_faults.end(), [now](const Fault &fault) {
        return fault.m_kind == FaultKind::ZoneOut && fault.m_from <= now && now < fault.m_until + zoneReturnPeriod;
    });
}

}

void sample(RunState &run, fleet::TimePoint now)
{
    for (std::size_t zone = 0; zone < run.m_zones.size(); ++zone) {
        if (!run.m_zones[zone].m_outSince) {
            sampleFragmentation(run, zone);
        }
    }
    double working = 0.0;
    for (const WorkerRun &worker : run.m_workers) {
        working += static_cast<double>(workingAccelerators(worker.m_fake));
    }
    const double capacity = static_cast<double>(totalAccelerators(run.m_site));
    run.m_samples.m_working += working;
    run.m_samples.m_capacity += capacity;
    if (isZoneChange(run, now)) {
        run.m_samples.m_workingInZoneChange += working;
        run.m_samples.m_capacityInZoneChange += capacity;
    }
}

}
