#include "components/experiment/fault_injection.hpp"

#include "components/experiment/run_state.hpp"
#include "components/experiment/worker_messages.hpp"
#include "components/experiment/zone_loop.hpp"

namespace experiment
{

namespace
{

constexpr fleet::Duration minListLag = std::chrono::seconds(1);
constexpr fleet::Duration maxListLag = std::chrono::seconds(4);
/// The platform removes a crashed worker only after its leases have certainly expired.
constexpr fleet::Duration minRemovalLag = std::chrono::seconds(60);
constexpr fleet::Duration maxRemovalLag = std::chrono::seconds(180);
constexpr fleet::Duration replacementDelay = std::chrono::minutes(5);

void crashWorker(RunState &run, std::size_t index, fleet::TimePoint now)
{
    WorkerRun &worker = run.m_workers[index];
    worker.m_fake.m_alive = false;
    processChanges(run, index, crash(worker.m_fake, now), now);
}

void restoreWorker(RunState &run, std::size_t index)
{
    run.m_workers[index].m_fake.m_alive = true;
    run.m_workers[index].m_fake.m_failsEverything = false;
}

void scheduleListing(RunState &run, std::size_t index, bool leaving, fleet::TimePoint now)
{
    const fleet::Duration lag = uniformDuration(run.m_random, minListLag, maxListLag);
    const WorkerRun &worker = run.m_workers[index];
    run.m_timers.add(now + lag, [&run, zone = worker.m_zone, info = worker.m_fake.m_info, leaving](fleet::TimePoint at) {
        deliver(run, zone, scheduler::WorkerListed {info, leaving}, at);
    });
}

void scheduleRemoval(RunState &run, std::size_t index, fleet::TimePoint now)
{
    const fleet::Duration lag = uniformDuration(run.m_random, minRemovalLag, maxRemovalLag);
    const WorkerRun &worker = run.m_workers[index];
    run.m_timers.add(now + lag, [&run, zone = worker.m_zone, id = worker.m_fake.m_info.m_id](fleet::TimePoint at) {
        deliver(run, zone, scheduler::WorkerRemoved {id}, at);
    });
}

/// Replaces the worker by one with a new id in the same rack.
void replaceWorker(RunState &run, std::size_t index, fleet::TimePoint now)
{
    WorkerRun &worker = run.m_workers[index];
    run.m_workerIndex.erase(worker.m_fake.m_info.m_id);
    ++worker.m_generation;
    worker.m_fake.m_info.m_id = fleet::WorkerId("worker-" + std::to_string(index) + "-" + std::to_string(worker.m_generation));
    worker.m_leavingSince.reset();
    run.m_workerIndex[worker.m_fake.m_info.m_id] = index;
    restoreWorker(run, index);
    scheduleListing(run, index, false, now);
}

void restart(RunState &run, std::size_t index, fleet::TimePoint until, fleet::TimePoint now)
{
    crashWorker(run, index, now);
    run.m_timers.add(until, [&run, index](fleet::TimePoint) {
        restoreWorker(run, index);
    });
}

void loseWorker(RunState &run, std::size_t index, fleet::TimePoint until, fleet::TimePoint now)
{
    crashWorker(run, index, now);
    scheduleRemoval(run, index, now);
    run.m_timers.add(until, [&run, index](fleet::TimePoint at) {
        replaceWorker(run, index, at);
    });
}

void startLeaving(RunState &run, std::size_t index, fleet::TimePoint until, fleet::TimePoint now)
{
    run.m_workers[index].m_leavingSince = now;
    scheduleListing(run, index, true, now);
    run.m_timers.add(until, [&run, index](fleet::TimePoint at) {
        loseWorker(run, index, at + replacementDelay, at);
    });
}

void loseRack(RunState &run, std::size_t index, fleet::TimePoint until, fleet::TimePoint now)
{
    const fleet::RackId rack = run.m_workers[index].m_fake.m_info.m_rack;
    for (std::size_t other = 0; other < run.m_workers.size(); ++other) {
        const WorkerRun &worker = run.m_workers[other];
        if (worker.m_fake.m_info.m_rack == rack && worker.m_fake.m_alive && !worker.m_leavingSince) {
            loseWorker(run, other, until, now);
        }
    }
}

void takeZoneOut(RunState &run, std::size_t zone, fleet::TimePoint until, fleet::TimePoint now)
{
    run.m_zones[zone].m_outSince = now;
    publishPolicy(run, now);
    run.m_timers.add(until, [&run, zone](fleet::TimePoint at) {
        run.m_zones[zone].m_outSince.reset();
        publishPolicy(run, at);
    });
}

void injectIntoWorker(RunState &run, const Fault &fault, fleet::TimePoint now)
{
    WorkerRun &worker = run.m_workers[fault.m_subject];
    if (!worker.m_fake.m_alive || worker.m_leavingSince) {
        return;
    }
    switch (fault.m_kind) {
    case FaultKind::WorkerRestart:
        return restart(run, fault.m_subject, fault.m_until, now);
    case FaultKind::WorkerLoss:
        return loseWorker(run, fault.m_subject, fault.m_until, now);
    case FaultKind::WorkerLeaving:
        return startLeaving(run, fault.m_subject, fault.m_until, now);
    case FaultKind::RackLoss:
        return loseRack(run, fault.m_subject, fault.m_until, now);
    case FaultKind::WorkerFailsEverything:
        worker.m_fake.m_failsEverything = true;
        run.m_timers.add(fault.m_until, [&worker](fleet::TimePoint) {
            worker.m_fake.m_failsEverything = false;
        });
        return;
    case FaultKind::WorkerUnreachable:
        worker.m_unreachableUntil = fault.m_until;
        return;
    case FaultKind::WorkerSlow:
        worker.m_slowUntil = fault.m_until;
        return;
    case FaultKind::SchedulerPause:
    case FaultKind::ZoneOut:
        return;
    }
}

}

void inject(RunState &run, const Fault &fault, fleet::TimePoint now)
{
    if (fault.m_kind == FaultKind::SchedulerPause) {
        pauseScheduler(run, fault.m_subject, fault.m_until);
    } else if (fault.m_kind == FaultKind::ZoneOut) {
        takeZoneOut(run, fault.m_subject, fault.m_until, now);
    } else {
        injectIntoWorker(run, fault, now);
    }
}

}
