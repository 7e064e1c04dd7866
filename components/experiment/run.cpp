#include "components/experiment/run.hpp"

#include "components/experiment/arrivals.hpp"
#include "components/experiment/fault_injection.hpp"
#include "components/experiment/run_state.hpp"
#include "components/experiment/workload.hpp"
#include "components/experiment/zone_loop.hpp"

#include <algorithm>

namespace experiment
{

namespace
{

constexpr fleet::Duration tickInterval = std::chrono::seconds(1);

void addWorkers(RunState &run)
{
    run.m_workers.resize(run.m_site.m_workers.size());
    for (std::size_t index = 0; index < run.m_workers.size(); ++index) {
        WorkerRun &worker = run.m_workers[index];
        worker.m_fake.m_info = run.m_site.m_workers[index];
        const auto zone = std::find(run.m_site.m_zones.begin(), run.m_site.m_zones.end(), worker.m_fake.m_info.m_zone);
        worker.m_zone = static_cast<std::size_t>(zone - run.m_site.m_zones.begin());
        run.m_workerIndex[worker.m_fake.m_info.m_id] = index;
        deliver(run, worker.m_zone, scheduler::WorkerListed {worker.m_fake.m_info, false}, runStart);
    }
}

void addZones(RunState &run, const scheduler::Settings &settings)
{
    run.m_zones.resize(run.m_site.m_zones.size());
    for (ZoneRun &zone : run.m_zones) {
        zone.m_scheduler.m_settings = settings;
    }
}

void addJobs(RunState &run)
{
    run.m_records.resize(run.m_jobs.size());
    run.m_openJobs = run.m_jobs.size();
    for (std::size_t index = 0; index < run.m_jobs.size(); ++index) {
        const PlannedJob &job = run.m_jobs[index];
        run.m_jobIndex[job.m_spec.m_id] = index;
        run.m_timers.add(job.m_spec.m_submittedAt, [&run, index](fleet::TimePoint now) {
            submitJob(run, index, now);
        });
        if (job.m_cancelAt) {
            run.m_timers.add(*job.m_cancelAt, [&run, index](fleet::TimePoint now) {
                cancelJob(run, index, now);
            });
        }
    }
}

void addFaults(RunState &run)
{
    for (const Fault &fault : run.m_faults.m_faults) {
        run.m_timers.add(fault.m_from, [&run, &fault](fleet::TimePoint now) {
            inject(run, fault, now);
        });
    }
}

void startZones(RunState &run)
{
    for (std::size_t zone = 0; zone < run.m_zones.size(); ++zone) {
        deliver(run, zone, scheduler::PolicyChanged {zoneAccounts(run, zone)}, runStart);
        deliver(run, zone, scheduler::StartsAllowed {true}, runStart);
    }
}

void keepTicking(RunState &run, fleet::TimePoint now)
{
    for (std::size_t zone = 0; zone < run.m_zones.size(); ++zone) {
        tickScheduler(run, zone, now);
    }
    run.m_timers.add(now + tickInterval, [&run](fleet::TimePoint at) {
        keepTicking(run, at);
    });
}

void keepSampling(RunState &run, fleet::TimePoint now)
{
    sample(run, now);
    if (now + sampleInterval < runStart + run.m_horizon) {
        run.m_timers.add(now + sampleInterval, [&run](fleet::TimePoint at) {
            keepSampling(run, at);
        });
    }
}

}

RunStats runExperiment(const RunOptions &options, std::uint64_t seed)
{
    RunState run;
    run.m_site = options.m_site;
    run.m_horizon = options.m_horizon;
    run.m_jobs = generateWorkload(run.m_site, seed, run.m_horizon);
    run.m_faults = generateFaults(run.m_site, seed, run.m_horizon, options.m_faultScale);
    run.m_random.seed(seed + 2'000'003);
    addZones(run, options.m_scheduler);
    addWorkers(run);
    startZones(run);
    addJobs(run);
    addFaults(run);
    run.m_timers.add(runStart, [&run](fleet::TimePoint now) {
        keepTicking(run, now);
    });
    run.m_timers.add(runStart + sampleInterval, [&run](fleet::TimePoint now) {
        keepSampling(run, now);
    });
    const fleet::TimePoint latestEnd = runStart + run.m_horizon + options.m_drain;
    while (run.m_openJobs > 0 && run.m_timers.now() < latestEnd) {
        run.m_timers.runNext();
    }
    const fleet::TimePoint end = run.m_timers.now();
    finish(run.m_audit, end);
    return collectRunStats(run, seed, end);
}

}
