#include "components/experiment/fault_injection.hpp"

#include "components/experiment/run_state.hpp"
#include "components/experiment/worker_messages.hpp"
#include "components/experiment/zone_loop.hpp"

namespace experiment
{

namespace
{

constexpr fleet::Duration shortestListLag = std::chrono::seconds(1);
constexpr fleet::Duration longestListLag = std::chrono::seconds(4);
/// The platform removes a dead worker once its leases are certain to have lapsed.
constexpr fleet::Duration shortestRemovalLag = std::chrono::seconds(60);
constexpr fleet::Duration longestRemovalLag = std::chrono::seconds(180);
constexpr fleet::Duration replacementDelay = std::chrono::minutes(5);

void kill(RunState &run, std::size_t index, fleet::TimePoint now)
{
    WorkerRun &worker = run.m_workers[index];
    worker.m_fake.m_alive = false;
    follow(run, index, crash(worker.m_fake, now), now);
}

void revive(RunState &run, std::size_t index)
{
    run.m_workers[index].m_fake.m_alive = true;
    run.m_workers[index].m_fake.m_failsEverything = false;
}

void list(RunState &run, std::size_t index, bool leaving, fleet::TimePoint now)
{
    const fleet::Duration lag = uniformDuration(run.m_random, shortestListLag, longestListLag);
    const WorkerRun &worker = run.m_workers[index];
    run.m_agenda.add(now + lag, [&run, zone = worker.m_zone, info = worker.m_fake.m_info, leaving](fleet::TimePoint at) {
        deliver(run, zone, scheduler::WorkerListed {info, leaving}, at);
    });
}

void remove(RunState &run, std::size_t index, fleet::TimePoint now)
{
    const fleet::Duration lag = uniformDuration(run.m_random, shortestRemovalLag, longestRemovalLag);
    const WorkerRun &worker = run.m_workers[index];
    run.m_agenda.add(now + lag, [&run, zone = worker.m_zone, id = worker.m_fake.m_info.m_id](fleet::TimePoint at) {
        deliver(run, zone, scheduler::WorkerRemoved {id}, at);
    });
}

/// A new worker takes the place in the rack, under an id of its own.
void replace(RunState &run, std::size_t index, fleet::TimePoint now)
{
    WorkerRun &worker = run.m_workers[index];
    run.m_workerIndex.erase(worker.m_fake.m_info.m_id);
    ++worker.m_generation;
    worker.m_fake.m_info.m_id = fleet::WorkerId("worker-" + std::to_string(index) + "-" + std::to_string(worker.m_generation));
    worker.m_leavingSince.reset();
    run.m_workerIndex[worker.m_fake.m_info.m_id] = index;
    revive(run, index);
    list(run, index, false, now);
}

void restart(RunState &run, std::size_t index, fleet::TimePoint until, fleet::TimePoint now)
{
    kill(run, index, now);
    run.m_agenda.add(until, [&run, index](fleet::TimePoint) {
        revive(run, index);
    });
}

void lose(RunState &run, std::size_t index, fleet::TimePoint until, fleet::TimePoint now)
{
    kill(run, index, now);
    remove(run, index, now);
    run.m_agenda.add(until, [&run, index](fleet::TimePoint at) {
        replace(run, index, at);
    });
}

void leave(RunState &run, std::size_t index, fleet::TimePoint until, fleet::TimePoint now)
{
    run.m_workers[index].m_leavingSince = now;
    list(run, index, true, now);
    run.m_agenda.add(until, [&run, index](fleet::TimePoint at) {
        lose(run, index, at + replacementDelay, at);
    });
}

void loseRack(RunState &run, std::size_t index, fleet::TimePoint until, fleet::TimePoint now)
{
    const fleet::RackId rack = run.m_workers[index].m_fake.m_info.m_rack;
    for (std::size_t other = 0; other < run.m_workers.size(); ++other) {
        const WorkerRun &worker = run.m_workers[other];
        if (worker.m_fake.m_info.m_rack == rack && worker.m_fake.m_alive && !worker.m_leavingSince) {
            lose(run, other, until, now);
        }
    }
}

void takeOut(RunState &run, std::size_t zone, fleet::TimePoint until, fleet::TimePoint now)
{
    run.m_zones[zone].m_outSince = now;
    publishPolicy(run, now);
    run.m_agenda.add(until, [&run, zone](fleet::TimePoint at) {
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
        return lose(run, fault.m_subject, fault.m_until, now);
    case FaultKind::WorkerLeaves:
        return leave(run, fault.m_subject, fault.m_until, now);
    case FaultKind::RackLoss:
        return loseRack(run, fault.m_subject, fault.m_until, now);
    case FaultKind::WorkerFailsEverything:
        worker.m_fake.m_failsEverything = true;
        run.m_agenda.add(fault.m_until, [&worker](fleet::TimePoint) {
            worker.m_fake.m_failsEverything = false;
        });
        return;
    case FaultKind::WorkerCutOff:
        worker.m_cutOffUntil = fault.m_until;
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
        pause(run, fault.m_subject, fault.m_until);
    } else if (fault.m_kind == FaultKind::ZoneOut) {
        takeOut(run, fault.m_subject, fault.m_until, now);
    } else {
        injectIntoWorker(run, fault, now);
    }
}

}
