#include "components/experiment/worker_messages.hpp"

#include "components/experiment/delivery.hpp"
#include "components/experiment/run_state.hpp"
#include "components/experiment/zone_loop.hpp"

namespace experiment
{

namespace
{

constexpr double millisecondsPerHour = 3'600'000.0;

std::optional<fleet::TimePoint> unavailableSince(const RunState &run, const WorkerRun &worker)
{
    const std::optional<fleet::TimePoint> &zoneOut = run.m_zones[worker.m_zone].m_outSince;
    if (zoneOut && worker.m_leavingSince) {
        return std::min(*zoneOut, *worker.m_leavingSince);
    }
    return zoneOut ? zoneOut : worker.m_leavingSince;
}

void checkWorker(RunState &run, std::size_t index, fleet::TimePoint now)
{
    WorkerRun &worker = run.m_workers[index];
    if (worker.m_nextCheckAt > now) {
        return;
    }
    worker.m_nextCheckAt = fleet::TimePoint::max();
    processChanges(run, index, advance(worker.m_fake, now), now);
}

void recordChange(RunState &run, std::size_t worker, const TaskChange &change)
{
    const std::size_t index = run.m_jobIndex.at(change.m_task.m_job);
    const PlannedJob &job = run.m_jobs[index];
    observe(run.m_audit, change, job.m_spec.m_shape.m_tasks, unavailableSince(run, run.m_workers[worker]));
    if (change.m_phase == scheduler::TaskPhase::Running) {
        run.m_zones[run.m_workers[worker].m_zone].m_waiting.erase(index);
    } else if (job.isSound()) {
        const double accelerators = static_cast<double>(job.m_spec.m_shape.m_perTask.m_accelerators);
        run.m_wastedAcceleratorHours += static_cast<double>(change.m_lost.count()) / millisecondsPerHour * accelerators;
    }
}

void sendReport(RunState &run, std::size_t index, fleet::TimePoint requestSentAt, fleet::TimePoint now)
{
    const WorkerRun &worker = run.m_workers[index];
    const scheduler::WorkerReported reported {worker.m_fake.m_info.m_id, report(worker.m_fake), requestSentAt};
    for (const fleet::Duration delay : drawReportDelays(run.m_faults.m_messages, now < worker.m_slowUntil, run.m_random)) {
        run.m_timers.add(now + delay, [&run, zone = worker.m_zone, reported](fleet::TimePoint at) {
            deliver(run, zone, reported, at);
        });
    }
}

void receiveCommands(
    RunState &run, const fleet::WorkerId &id, const std::vector<scheduler::WorkerCommand> &commands, fleet::TimePoint requestSentAt, fleet::TimePoint now)
{
    const auto found = run.m_workerIndex.find(id);
    if (found == run.m_workerIndex.end()) {
        return;
    }
    const std::size_t index = found->second;
    WorkerRun &worker = run.m_workers[index];
    if (!worker.m_fake.m_alive || now < worker.m_unreachableUntil) {
        return;
    }
    processChanges(run, index, advance(worker.m_fake, now), now);
    for (const scheduler::WorkerCommand &command : commands) {
        const PlannedJob &job = run.m_jobs[run.m_jobIndex.at(command.m_task.m_job)];
        processChanges(run, index, apply(worker.m_fake, command, job, now), now);
    }
    checkCapacity(run.m_audit, worker.m_fake, now);
    sendReport(run, index, requestSentAt, now);
}

}

void sendCommands(RunState &run, const fleet::WorkerId &worker, const std::vector<scheduler::WorkerCommand> &commands, fleet::TimePoint now)
{
    const auto found = run.m_workerIndex.find(worker);
    if (found == run.m_workerIndex.end()) {
        return;
    }
    WorkerRun &workerRun = run.m_workers[found->second];
    workerRun.m_lastRequestSentAt = now;
    if (now < workerRun.m_unreachableUntil) {
        return;
    }
    for (const fleet::Duration delay : drawCommandDelays(run.m_faults.m_messages, run.m_random)) {
        run.m_timers.add(now + delay, [&run, worker, commands, now](fleet::TimePoint at) {
            receiveCommands(run, worker, commands, now, at);
        });
    }
}

void processChanges(RunState &run, std::size_t worker, const std::vector<TaskChange> &changes, fleet::TimePoint now)
{
    for (const TaskChange &change : changes) {
        recordChange(run, worker, change);
    }
    WorkerRun &workerRun = run.m_workers[worker];
    const fleet::TimePoint next = std::max(nextChangeTime(workerRun.m_fake), now);
    if (next == fleet::TimePoint::max() || next >= workerRun.m_nextCheckAt) {
        return;
    }
    workerRun.m_nextCheckAt = next;
    run.m_timers.add(next, [&run, worker](fleet::TimePoint at) {
        checkWorker(run, worker, at);
    });
}

}
