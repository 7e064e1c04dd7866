#include "components/dispatch/runs.hpp"

#include "components/dispatch/account_limits.hpp"
#include "components/dispatch/context.hpp"
#include "components/dispatch/failures.hpp"
#include "components/dispatch/objectives.hpp"
#include "components/dispatch/orders.hpp"
#include "components/dispatch/run_log.hpp"
#include "components/dispatch/run_time_samples.hpp"
#include "components/journal/changes.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace dispatch
{

namespace
{

/// Lowest rate of a worker's steady clock relative to this machine's; the bound is 2% slow.
constexpr double minClockRate = 0.98;
/// How long a worker gets no new runs after a first failure.
constexpr fleet::Duration initialAvoidance {3000};
constexpr int maxAvoidanceDoublings = 3;
/// A faulty worker fails every run within this time after its start.
constexpr fleet::Duration startupFailureTime {150};
constexpr std::int64_t millisPerCore = 1000;

const jobs::StepSpec &stepOf(const journal::JobRecord &job, const jobs::StepId &step)
{
    return job.m_spec.m_steps[step.m_step];
}

int priorityOf(const Context &context, const journal::JobRecord &job)
{
    const catalog::Queue *queue = catalog::findQueue(context.m_catalog, job.m_spec.m_queue);
    return queue == nullptr ? 0 : queue->m_priority;
}

/// Counts a failure against the worker unless the task has failed before, which makes the task the likely cause; a failure right after
/// the start counts nevertheless. No failure counts of a job that fails on several other workers too, since it would keep all workers
/// from the other jobs. Each further consecutive failure doubles the time that the worker gets no new runs.
void updateWorkerHealth(Context &context, WorkerState &worker, const jobs::TaskId &task, const RunState &run, jobs::RunEnd end)
{
    if (end == jobs::RunEnd::Done) {
        worker.m_consecutiveFailures = 0;
        return;
    }
    const journal::TaskRecord *record = journal::findTask(context.m_journalState.m_jobs.at(task.m_step.m_job), task);
    const bool isStartupFailure = ranFor(run, context.m_now.m_boot) < startupFailureTime;
    if (end != jobs::RunEnd::Failed || (record != nullptr && record->m_failures > 0 && !isStartupFailure)
        || isJobLikelyCause(context, task.m_step.m_job, worker.m_registration.m_incarnation.m_worker)) {
        return;
    }
    worker.m_failedAt = context.m_now.m_boot;
    const fleet::Duration avoidance = initialAvoidance * (1 << std::min(worker.m_consecutiveFailures, maxAvoidanceDoublings));
    ++worker.m_consecutiveFailures;
    worker.m_avoidUntil = std::max(worker.m_avoidUntil, context.m_now.m_boot + avoidance);
}

/// Returns the open runs of one step of the job.
std::vector<jobs::RunId> openRuns(const journal::StepRecord &record, const jobs::StepId &step)
{
    std::vector<jobs::RunId> runs;
    for (const auto &[index, task] : record.m_tasks) {
        for (const journal::OpenRun &open : task.m_open) {
            runs.push_back({{step, index}, open.m_run});
        }
    }
    return runs;
}

/// True if the run is known to have worked: its progress grew, or it has some without having resumed from a checkpoint.
bool hasWorked(const RunState &run)
{
    return run.m_phase == RunPhase::Running && run.m_percent > 0 && (run.m_percentAt > run.m_startedAt || run.m_checkpoint.empty());
}

/// True if the run was taken over from another holder and its worker has not answered since.
bool isUnknownSinceTakeover(const RunState &run)
{
    return run.m_phase == RunPhase::Starting && run.m_nextStartAt == fleet::BootTime::max();
}

/// True if a member was launched long ago and still does not run, so that the other members wait for it in vain. The members of a
/// gang only work together: if one has worked, all are present, and one that is not known to run is only unreachable.
bool isMemberMissing(const Context &context, const std::vector<jobs::RunId> &open)
{
    const bool hasAnyWorked = std::any_of(open.begin(), open.end(), [&](const jobs::RunId &run) {
        return hasWorked(context.m_state.m_runs.at(run));
    });
    if (hasAnyWorked) {
        return false;
    }
    return std::any_of(open.begin(), open.end(), [&](const jobs::RunId &run) {
        const RunState &state = context.m_state.m_runs.at(run);
        return state.m_phase != RunPhase::Running && !isUnknownSinceTakeover(state)
            && context.m_now.m_boot - state.m_launchedAt > context.m_state.m_settings.m_gangWait / 2;
    });
}

/// True if the members of the gang that never began can still be launched on other workers.
bool canStillJoin(const Context &context, const journal::StepRecord &record, const std::vector<jobs::RunId> &open)
{
    if (open.empty() || journal::joinableRun(record) == 0) {
        return false;
    }
    return std::none_of(open.begin(), open.end(), [&](const jobs::RunId &run) {
        const RunState &state = context.m_state.m_runs.at(run);
        return state.m_isStopRequested || context.m_now.m_boot - state.m_launchedAt > context.m_state.m_settings.m_gangWait / 2;
    });
}

/// Returns the runs of the gang that are no longer needed: it cannot continue once a member ended without being done.
std::vector<jobs::RunId> unneededGangRuns(const Context &context, const journal::StepRecord &record, const jobs::StepId &step)
{
    std::vector<jobs::RunId> open = openRuns(record, step);
    if (record.isDone()) {
        // The members of the run that is done end on their own. Those of another one work in vain.
        const std::uint32_t last = journal::nextRunNumber(record) - 1;
        std::erase_if(open, [&](const jobs::RunId &run) {
            return run.m_run >= last;
        });
        return open;
    }
    const bool isComplete = open.size() == record.m_taskCount && !isMemberMissing(context, open);
    return isComplete || canStillJoin(context, record, open) ? std::vector<jobs::RunId>() : open;
}

void recordIncompleteGang(Context &context, const journal::StepRecord &record, const jobs::StepId &step)
{
    const std::vector<jobs::RunId> open = openRuns(record, step);
    const bool isAnyMissing = open.size() < record.m_taskCount || std::any_of(open.begin(), open.end(), [&](const jobs::RunId &run) {
                                  return context.m_state.m_runs.at(run).m_phase != RunPhase::Running;
                              });
    if (!open.empty() && isAnyMissing && context.m_journalState.m_jobs.at(step.m_job).m_spec.m_steps[step.m_step].m_isGang) {
        context.m_state.m_incompleteGangs.insert(step);
    }
}

void logJobEnd(Context &context, const journal::JobRecord &job)
{
    const catalog::Queue *queue = catalog::findQueue(context.m_catalog, job.m_spec.m_queue);
    const fleet::TimePoint objective = queue == nullptr ? job.m_acceptedAt : objectiveOf(job, *queue, job.occurrenceCount() - 1);
    const auto calibration = context.m_state.m_jobCalibrations.extract(job.m_spec.m_id);
    const RunTimeCalibration timed = calibration.empty() ? RunTimeCalibration() : calibration.mapped();
    context.m_out.m_log.push_back(logging::Line("dispatch", "job-end")
                                      .add("job", toString(job.m_spec.m_id))
                                      .add("state", jobs::nameOf(stateOf(job)))
                                      .add("took_ms", context.m_now.m_wall - job.m_acceptedAt)
                                      .add("objective_ms", objective - job.m_acceptedAt)
                                      .add("priority", priorityOf(context, job))
                                      .add("timed_runs", timed.m_runs)
                                      .add("estimate_error_pct", timed.meanEstimateError())
                                      .add("model_error_pct", timed.meanModelError())
                                      .add("coverage_pct", timed.coverage()));
}

/// Returns the checkpoint to record for the end of a run. A member that is stopped writes one at its end, while those whose gang breaks
/// with it have only their last regular one, which must not replace the newer.
std::string checkpointToRecord(Context &context, const jobs::RunId &run, jobs::RunEnd end, const std::string &checkpoint)
{
    std::map<jobs::StepId, std::uint32_t> &stopped = context.m_state.m_stoppedGangRuns;
    const jobs::StepId &step = run.m_task.m_step;
    if (checkpoint.empty() || !stepOf(context, step).m_isGang) {
        return checkpoint;
    }
    if (end == jobs::RunEnd::Stopped) {
        stopped[step] = run.m_run;
        return checkpoint;
    }
    const auto found = stopped.find(step);
    return found != stopped.end() && found->second == run.m_run ? std::string() : checkpoint;
}

/// Removes what is kept for a step that still has tasks to start.
void forgetStep(State &state, const jobs::StepId &step)
{
    state.m_advice.erase(step);
    state.m_failures.erase(step);
    state.m_restartNotBefore.erase(step);
    state.m_stoppedGangRuns.erase(step);
}

/// Notes whose other runs may no longer be needed after the end of a run of the task.
void addChanged(Context &context, const journal::JobRecord &job, const jobs::TaskId &id, bool wasOver)
{
    if (job.isOver()) {
        // All runs of a job that was over before have been asked to stop.
        if (!wasOver) {
            context.m_changedJobs.insert(id.m_step.m_job);
        }
    } else if (stepOf(job, id.m_step).m_isGang) {
        context.m_changedGangs.insert(id.m_step);
    } else if (const journal::TaskRecord *task = journal::findTask(job, id); task != nullptr && task->m_isDone) {
        context.m_changedTasks.insert(id);
    }
}

/// Applies the end of a run to the journal state, and adds it to the changes to record.
void recordEnd(Context &context, const journal::EndedRun &ended)
{
    const jobs::StepId &step = ended.m_run.m_task.m_step;
    const jobs::JobId &id = step.m_job;
    const journal::JobRecord *job = journal::findJob(context.m_journalState, id);
    const bool wasOver = job == nullptr || job->isOver();
    journal::Changes changes;
    journal::apply(context.m_journalState, journal::RunsEnded {{ended}, context.m_now.m_wall}, changes);
    if (!wasOver && job->isOver()) {
        context.m_out.m_endedJobs.insert(id);
    }
    context.m_ended.push_back(ended);
    if (job != nullptr && journal::isStepDone(*job, step.m_occurrence, step.m_step)) {
        forgetStep(context.m_state, step);
    }
    if (job != nullptr) {
        addChanged(context, *job, ended.m_run.m_task, wasOver);
    }
    context.m_state.m_planIsDue = true;
}

void stopUnneeded(Context &context, const std::vector<jobs::RunId> &runs, const char *why)
{
    context.m_out.m_work.m_reconciledRuns += runs.size();
    for (const jobs::RunId &run : runs) {
        requestStop(context, run, why);
    }
}

void reconcileGang(Context &context, const jobs::StepId &step)
{
    const journal::JobRecord *job = journal::findJob(context.m_journalState, step.m_job);
    const journal::StepRecord *record = job == nullptr || job->isOver() ? nullptr : journal::findStep(*job, step);
    if (record == nullptr) {
        return;
    }
    const std::vector<jobs::RunId> unneeded = unneededGangRuns(context, *record, step);
    recordIncompleteGang(context, *record, step);
    context.m_out.m_work.m_reconciledRuns += record->m_tasks.size();
    stopUnneeded(context, unneeded, "not-needed");
}

void reconcileTask(Context &context, const jobs::TaskId &id)
{
    const journal::JobRecord *job = journal::findJob(context.m_journalState, id.m_step.m_job);
    const journal::TaskRecord *task = job == nullptr ? nullptr : journal::findTask(*job, id);
    if (task == nullptr || !task->m_isDone) {
        return;
    }
    std::vector<jobs::RunId> copies;
    for (const journal::OpenRun &open : task->m_open) {
        copies.push_back({id, open.m_run});
    }
    stopUnneeded(context, copies, "not-needed");
}

/// Removes the state of a job that is over.
void forgetJob(Context &context, const journal::JobRecord &job)
{
    const jobs::JobId id = job.m_spec.m_id;
    if (context.m_state.m_activeJobs.erase(id) == 0) {
        return;
    }
    const auto isOfJob = [&](const auto &entry) {
        return entry.first.m_job == id;
    };
    std::erase_if(context.m_state.m_advice, isOfJob);
    std::erase_if(context.m_state.m_failures, isOfJob);
    std::erase_if(context.m_state.m_restartNotBefore, isOfJob);
    std::erase_if(context.m_state.m_stoppedGangRuns, isOfJob);
    logJobEnd(context, job);
}

void reconcileJob(Context &context, jobs::JobId id)
{
    const journal::JobRecord *job = journal::findJob(context.m_journalState, id);
    if (job == nullptr) {
        return;
    }
    std::vector<jobs::RunId> runs;
    for (const auto &[number, occurrence] : job->m_occurrences) {
        jobs::StepId step {id, number, 0};
        for (const journal::StepRecord &record : occurrence.m_steps) {
            const std::vector<jobs::RunId> open = openRuns(record, step);
            if (job->isOver()) {
                runs.insert(runs.end(), open.begin(), open.end());
            } else if (stepOf(*job, step).m_isGang) {
                context.m_changedGangs.insert(step);
            } else {
                for (const jobs::RunId &run : open) {
                    if (record.isDone(run.m_task.m_index)) {
                        context.m_changedTasks.insert(run.m_task);
                    }
                }
            }
            context.m_out.m_work.m_reconciledRuns += open.size();
            ++step.m_step;
        }
    }
    if (job->isOver()) {
        stopUnneeded(context, runs, "job-over");
        forgetJob(context, *job);
    }
}

}

void recordHealthyStart(WorkerState &worker, const RunState &run, fleet::BootTime now)
{
    if (run.m_phase == RunPhase::Running && now - run.m_startedAt >= startupFailureTime) {
        worker.m_lastHealthyStartAt = std::max(worker.m_lastHealthyStartAt, run.m_startedAt);
    }
}

WorkerState *findWorker(Context &context, const workers::WorkerIncarnation &incarnation)
{
    const auto found = context.m_state.m_workers.find(incarnation.m_worker);
    const bool isSame = found != context.m_state.m_workers.end() && found->second.m_registration.m_incarnation == incarnation;
    return isSame ? &found->second : nullptr;
}

RunState *findRun(Context &context, const jobs::RunId &run)
{
    const auto found = context.m_state.m_runs.find(run);
    return found == context.m_state.m_runs.end() ? nullptr : &found->second;
}

fleet::Duration ranFor(const RunState &run, fleet::BootTime now)
{
    return run.m_phase == RunPhase::Running ? now - run.m_startedAt : fleet::Duration(0);
}

std::optional<std::int64_t> estimatedWorkerClock(const WorkerState &worker, fleet::BootTime now)
{
    return worker.m_clockMs ? std::optional(*worker.m_clockMs + (now - worker.m_clockAt).count()) : std::nullopt;
}

std::optional<std::int64_t> minWorkerClock(const WorkerState &worker, fleet::BootTime now)
{
    if (!worker.m_clockMs) {
        return std::nullopt;
    }
    const double elapsed = static_cast<double>((now - worker.m_clockAt).count()) * minClockRate;
    return *worker.m_clockMs + static_cast<std::int64_t>(std::floor(elapsed));
}

bool hasLeaseExpired(const WorkerState &worker, fleet::BootTime now)
{
    if ((!worker.m_hasAcceptedToken && now < worker.m_predecessorLeaseUntil) || now < worker.m_startLeaseUntil) {
        return false;
    }
    if (worker.m_grantedLeaseEndMs == 0) {
        return true;
    }
    const auto clock = minWorkerClock(worker, now);
    return clock && *clock >= worker.m_grantedLeaseEndMs;
}

void recordClock(WorkerState &worker, std::int64_t clockMs, fleet::BootTime now)
{
    const auto least = minWorkerClock(worker, now);
    // Answers may arrive out of order; an older reading is ignored.
    if (!least || clockMs >= *least) {
        worker.m_clockMs = clockMs;
        worker.m_clockAt = now;
    }
}

const jobs::StepSpec &stepOf(const Context &context, const jobs::StepId &step)
{
    return stepOf(context.m_journalState.m_jobs.at(step.m_job), step);
}

fleet::Resources allocationFor(const jobs::StepSpec &step)
{
    fleet::Resources allocation = step.m_perTask;
    if (step.m_usesIdleProcessor) {
        allocation.m_milliCores = 0;
    }
    return allocation;
}

RunState makeRunState(const Context &context, const journal::JobRecord &job, std::uint16_t stepNumber, const workers::WorkerIncarnation &incarnation)
{
    const jobs::StepSpec &step = job.m_spec.m_steps[stepNumber];
    RunState run;
    run.m_incarnation = incarnation;
    run.m_launchedOnMs = incarnation.m_startedAtMs;
    run.m_allocated = allocationFor(step);
    run.m_requested = step.m_perTask;
    run.m_priority = priorityOf(context, job);
    run.m_account = job.m_spec.m_account;
    run.m_isServing = step.m_tailLatencyObjective.count() > 0;
    run.m_isBestEffort = step.m_usesIdleProcessor;
    run.m_launchedAt = context.m_now.m_boot;
    return run;
}

void addRun(State &state, const jobs::RunId &run, RunState runState)
{
    WorkerState &worker = state.m_workers.at(runState.m_incarnation.m_worker);
    worker.m_allocated = worker.m_allocated + runState.m_allocated;
    worker.m_servingRuns += runState.m_isServing ? 1 : 0;
    worker.m_bestEffortRuns += runState.m_isBestEffort ? 1 : 0;
    worker.m_runs.insert(run);
    addToAccountUse(state, runState);
    state.m_unsettledRuns.insert(run);
    state.m_runs.emplace(run, std::move(runState));
}

void settleStart(State &state, const jobs::RunId &run, RunState &runState)
{
    if (!runState.m_isStartAwaited) {
        return;
    }
    runState.m_isStartAwaited = false;
    state.m_awaitedStarts.remove(run.m_task.m_step.m_job);
    state.m_planIsDue = state.m_planIsDue || state.m_isPlanLimited;
}

void launch(Context &context, const jobs::RunId &run, const workers::WorkerIncarnation &incarnation, const std::string &ticket)
{
    const journal::JobRecord &job = context.m_journalState.m_jobs.at(run.m_task.m_step.m_job);
    RunState state = makeRunState(context, job, run.m_task.m_step.m_step, incarnation);
    state.m_ticket = ticket;
    state.m_checkpoint = journal::checkpointOf(job, run.m_task);
    expectRunTime(context, run, state);
    state.m_isStartAwaited = true;
    context.m_state.m_awaitedStarts.add(run.m_task.m_step.m_job);
    addRun(context.m_state, run, std::move(state));
    context.m_launched.push_back({run, incarnation});
    journal::Changes changes;
    journal::apply(context.m_journalState, journal::RunsLaunched {{{run, incarnation}}}, changes);
}

void endRun(Context &context, const jobs::RunId &run, jobs::RunEnd end, const std::string &checkpoint, RunEndProof proof)
{
    const auto found = context.m_state.m_runs.find(run);
    if (found == context.m_state.m_runs.end()) {
        return;
    }
    logRunEnd(context, run, found->second, end, proof);
    observeEnd(context, run, found->second, end);
    const workers::WorkerIncarnation incarnation = found->second.m_incarnation;
    if (end == jobs::RunEnd::Failed) {
        context.m_state.m_failures[run.m_task.m_step][incarnation.m_worker] = context.m_now.m_boot;
    }
    const journal::EndedRun ended {run, incarnation, end, checkpointToRecord(context, run, end, checkpoint.empty() ? found->second.m_checkpoint : checkpoint)};
    const auto worker = context.m_state.m_workers.find(incarnation.m_worker);
    if (worker != context.m_state.m_workers.end()) {
        worker->second.m_allocated = worker->second.m_allocated - found->second.m_allocated;
        worker->second.m_runs.erase(run);
        removeOrders(worker->second, run, found->second);
        worker->second.m_servingRuns -= found->second.m_isServing ? 1 : 0;
        worker->second.m_bestEffortRuns -= found->second.m_isBestEffort ? 1 : 0;
        updateWorkerHealth(context, worker->second, run.m_task, found->second, end);
        if (end == jobs::RunEnd::Done) {
            recordHealthyStart(worker->second, found->second, context.m_now.m_boot);
        }
    }
    removeFromAccountUse(context.m_state, found->second);
    settleStart(context.m_state, run, found->second);
    context.m_state.m_runs.erase(found);
    context.m_state.m_unsettledRuns.erase(run);
    recordEnd(context, ended);
}

void recordDoneAfterClose(Context &context, const jobs::RunId &run, const workers::WorkerIncarnation &incarnation)
{
    const jobs::TaskId &id = run.m_task;
    const journal::JobRecord *job = journal::findJob(context.m_journalState, id.m_step.m_job);
    const journal::TaskRecord *task = job == nullptr || job->isOver() ? nullptr : journal::findTask(*job, id);
    if (task == nullptr || task->m_isDone || run.m_run > task->m_lastRun || stepOf(*job, id.m_step).m_isLongRunning) {
        return;
    }
    context.m_out.m_log.push_back(logging::Line("dispatch", "done-after-close")
                                      .add("task", toString(id))
                                      .add("run", run.m_run)
                                      .add("worker", incarnation.m_worker.value())
                                      .add("open", task->m_open.size()));
    // The journal ignores ends of closed runs. Processes of other versions read it too, so the end is recorded as that of a further run,
    // which has no orders.
    const jobs::RunId further {id, journal::nextRunNumber(*journal::findStep(*job, id.m_step))};
    const journal::EndedRun ended {further, incarnation, jobs::RunEnd::Done, {}};
    context.m_reopened.push_back({further, incarnation});
    journal::Changes changes;
    journal::apply(context.m_journalState, journal::RunsLaunched {{{further, incarnation}}}, changes);
    recordEnd(context, ended);
}

void requestStop(Context &context, const jobs::RunId &run, const std::string &why)
{
    RunState *state = findRun(context, run);
    if (state == nullptr || state->m_isStopRequested) {
        return;
    }
    context.m_out.m_log.push_back(logging::Line("dispatch", "stop")
                                      .add("task", toString(run.m_task))
                                      .add("run", run.m_run)
                                      .add("worker", state->m_incarnation.m_worker.value())
                                      .add("why", why)
                                      .add("priority", state->m_priority)
                                      .add("percent", state->m_percent)
                                      .add("ran_ms", ranFor(*state, context.m_now.m_boot))
                                      .add("cores", state->m_allocated.m_milliCores / millisPerCore)
                                      .add("accelerators", state->m_allocated.m_accelerators)
                                      .add("has_checkpoint", !state->m_checkpoint.empty()));
    state->m_isStopRequested = true;
    context.m_state.m_unsettledRuns.insert(run);
    state->m_stopRequestedAt = context.m_now.m_boot;
    state->m_nextStopAt = context.m_now.m_boot;
    if (const auto worker = context.m_state.m_workers.find(state->m_incarnation.m_worker); worker != context.m_state.m_workers.end()) {
        queueOrder(worker->second, run, *state);
    }
    if (state->m_startTries == 0) {
        endRun(context, run, jobs::RunEnd::NeverBegan, {}, RunEndProof::NotOrdered);
    }
}

void reconcileChanged(Context &context)
{
    while (!context.m_changedJobs.empty() || !context.m_changedGangs.empty() || !context.m_changedTasks.empty()) {
        for (const jobs::JobId &job : std::exchange(context.m_changedJobs, {})) {
            reconcileJob(context, job);
        }
        for (const jobs::StepId &gang : std::exchange(context.m_changedGangs, {})) {
            reconcileGang(context, gang);
        }
        for (const jobs::TaskId &task : std::exchange(context.m_changedTasks, {})) {
            reconcileTask(context, task);
        }
    }
}

}
