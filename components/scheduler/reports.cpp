#include "components/scheduler/reports.hpp"

#include "components/scheduler/allocations.hpp"
#include "components/scheduler/gangs.hpp"
#include "components/scheduler/progress.hpp"
#include "components/scheduler/queue.hpp"

#include <algorithm>

namespace scheduler
{

namespace
{

bool isFinal(TaskPhase phase)
{
    return phase != TaskPhase::Reserved && phase != TaskPhase::Running;
}

Job *findJob(State &state, const fleet::JobId &id)
{
    const auto found = state.m_jobs.find(id);
    return found == state.m_jobs.end() ? nullptr : &found->second;
}

/// Returns the job if the status belongs to its current attempt on this worker, else nullptr.
Job *findCurrent(State &state, const TaskStatus &status, int worker)
{
    Job *job = findJob(state, status.m_task.m_job);
    if (job == nullptr || !job->m_attempt || job->m_attempt->m_number != status.m_task.m_attempt) {
        return nullptr;
    }
    auto &tasks = job->m_attempt->m_tasks;
    const int task = status.m_task.m_task;
    if (task < 0 || task >= static_cast<int>(tasks.size()) || tasks[task].m_worker != worker) {
        return nullptr;
    }
    return job;
}

/// Sends Stop or Forget for a lease or final status that belongs to no current attempt. Until recovery is complete, the
/// status of an unknown job is left alone, because the job may still have to be read from the records.
void rejectStatus(Context &context, int worker, const TaskStatus &status)
{
    const State &state = context.m_state;
    const bool isKnown = state.m_jobs.contains(status.m_task.m_job) || state.m_ended.contains(status.m_task.m_job);
    if (!state.m_isRecoveryComplete && !isKnown) {
        return;
    }
    WorkerCommand command;
    command.m_worker = state.m_workers[worker].m_info.m_id;
    command.m_kind = isFinal(status.m_phase) ? CommandKind::Forget : CommandKind::Stop;
    command.m_task = status.m_task;
    context.m_actions.emplace_back(std::move(command));
}

bool canAdopt(const Job &job, const TaskStatus &status)
{
    const int number = status.m_task.m_attempt;
    const int task = status.m_task.m_task;
    if (task < 0 || task >= job.m_spec.m_shape.m_tasks) {
        return false;
    }
    if (!job.m_attempt) {
        return number > job.m_endedAttempt && number >= job.m_attempts;
    }
    const Attempt &attempt = *job.m_attempt;
    return attempt.m_phase == AttemptPhase::Adopting && attempt.m_number == number && attempt.m_tasks[task].m_worker == unknownWorker;
}

void beginAdoption(Context &context, Job &job, int number)
{
    dequeue(context.m_state, job);
    Attempt attempt;
    attempt.m_number = number;
    attempt.m_phase = AttemptPhase::Adopting;
    attempt.m_phaseSince = context.m_now;
    attempt.m_resumedFrom = job.m_checkpointed;
    attempt.m_placedAt = context.m_now;
    attempt.m_urgency = job.m_spec.m_urgency;
    attempt.m_runTime = remainingTime(context.m_state, job);
    context.m_state.m_isCoverageCheckDue = true;
    attempt.m_tasks.assign(job.m_spec.m_shape.m_tasks, {.m_worker = unknownWorker});
    job.m_attempts = number;
    job.m_attempt = std::move(attempt);
    context.m_state.m_active.insert(job.m_spec.m_id);
}

/// Takes over a lease that an earlier holder granted.
void adopt(Context &context, Job &job, int worker, const TaskStatus &status, fleet::TimePoint requestSentAt)
{
    if (!job.m_attempt) {
        beginAdoption(context, job, status.m_task.m_attempt);
    }
    TaskRun &run = job.m_attempt->m_tasks[status.m_task.m_task];
    run.m_worker = worker;
    run.m_leasedAt = requestSentAt;
    allocateTask(context.m_state, job, status.m_task.m_task);
    addLease(context.m_state, job, status.m_task.m_task);
}

/// Attributes the failure to the worker or the job, and applies quarantines and the job's pending outcome.
void attributeFailure(Context &context, Job &job, int worker)
{
    State &state = context.m_state;
    const health::Settings &settings = state.m_settings.m_health;
    const std::vector<int> &rack = state.m_pool.m_racks[state.m_pool.m_nodes[worker].m_rack];
    const health::FailureResult result = health::recordFailure(state.m_health, settings, job.m_spec.m_id, worker, rack, context.m_now);
    for (const int quarantined : result.m_quarantined) {
        refreshUsable(state, quarantined, context.m_now);
    }
    if (result.m_isJobBad) {
        const bool failedOnEnoughWorkers = static_cast<int>(state.m_health.m_jobs.at(job.m_spec.m_id).m_failedOn.size()) >= settings.m_badJobWorkers;
        job.m_pendingOutcome = failedOnEnoughWorkers ? JobOutcome::CannotRun : JobOutcome::Failed;
    }
}

void applyFinal(Context &context, Job &job, int task)
{
    TaskRun &run = job.m_attempt->m_tasks[task];
    const TaskPhase phase = *run.m_phase;
    const std::string &worker = context.m_state.m_workers[run.m_worker].m_info.m_id.value();
    run.m_isRetained = true;
    endTask(context, job, task);
    if (phase == TaskPhase::Succeeded) {
        health::recordSuccess(context.m_state.m_health, run.m_worker);
        refreshUsable(context.m_state, run.m_worker, context.m_now);
    } else if (phase == TaskPhase::Failed) {
        attributeFailure(context, job, run.m_worker);
        endAttempt(context, job, AttemptEnd::TaskFailed, "a task failed on worker " + worker);
    } else if (phase == TaskPhase::Refused) {
        context.m_state.m_workers[run.m_worker].m_backoffUntil = context.m_now + context.m_state.m_settings.m_refusalBackoff;
        refreshUsable(context.m_state, run.m_worker, context.m_now);
        endAttempt(context, job, AttemptEnd::Refused, "worker " + worker + " refused a task");
    } else {
        endAttempt(context, job, AttemptEnd::Lost, "a task was stopped or its lease expired on worker " + worker);
    }
}

/// Sends Start again. Called if a report requested after the first Start still shows the task as reserved.
void resendStart(Context &context, Job &job, int task)
{
    if (context.m_state.m_startsAllowed) {
        sendCommand(context, job, task, CommandKind::Start);
    } else {
        endAttempt(context, job, AttemptEnd::StartsDisallowed, "starts are not allowed");
    }
}

void applyLive(Context &context, Job &job, int task, fleet::TimePoint requestSentAt)
{
    const Attempt &attempt = *job.m_attempt;
    TaskRun &run = job.m_attempt->m_tasks[task];
    const bool isAfterCommand = requestSentAt > run.m_leasedAt;
    if (requestSentAt >= run.m_leasedAt) {
        run.m_confirmedAt = run.m_leasedAt;
    }
    const bool isStarted = attempt.m_phase == AttemptPhase::Running || attempt.m_phase == AttemptPhase::Checkpointing;
    if (isStarted && run.m_phase == TaskPhase::Reserved && isAfterCommand) {
        resendStart(context, job, task);
    }
}

void applyStatus(Context &context, Job &job, const TaskStatus &status, fleet::TimePoint requestSentAt)
{
    const int task = status.m_task.m_task;
    TaskRun &run = job.m_attempt->m_tasks[task];
    run.m_lastListedInReport = context.m_state.m_workers[run.m_worker].m_reportCount;
    if (run.m_over) {
        run.m_isRetained = run.m_isRetained || isFinal(status.m_phase);
        return;
    }
    run.m_checkpointed = std::max(run.m_checkpointed, status.m_checkpointed);
    run.m_ran = std::max(run.m_ran, status.m_ran);
    run.m_phase = status.m_phase;
    context.m_changedJobs.insert(job.m_spec.m_id);
    if (isFinal(status.m_phase)) {
        applyFinal(context, job, task);
    } else {
        applyLive(context, job, task, requestSentAt);
    }
}

/// Handles a lease that the worker's report should list but does not: repeats an unanswered Reserve, else ends the attempt.
void applyAbsence(Context &context, Job &job, int task)
{
    if (job.m_attempt->m_phase == AttemptPhase::Reserving && !job.m_attempt->m_tasks[task].m_phase) {
        sendCommand(context, job, task, CommandKind::Reserve);
        return;
    }
    const std::string &worker = context.m_state.m_workers[job.m_attempt->m_tasks[task].m_worker].m_info.m_id.value();
    endTask(context, job, task);
    endAttempt(context, job, AttemptEnd::Lost, "worker " + worker + " lost a lease");
}

void applyAbsences(Context &context, int index, fleet::TimePoint requestSentAt)
{
    const std::vector<TaskRef> tasks = context.m_state.m_workers[index].m_tasks;
    for (const TaskRef &ref : tasks) {
        Job &job = context.m_state.m_jobs.at(ref.m_job);
        const TaskRun &run = job.m_attempt->m_tasks[ref.m_task];
        if (run.m_lastListedInReport != context.m_state.m_workers[index].m_reportCount && requestSentAt > run.m_leasedAt) {
            applyAbsence(context, job, ref.m_task);
        }
    }
}

}

void applyReport(Context &context, const WorkerReported &report)
{
    State &state = context.m_state;
    const auto found = state.m_workerIndex.find(report.m_worker);
    if (found == state.m_workerIndex.end() || report.m_requestSentAt < state.m_workers[found->second].m_lastRequestSentAt) {
        return;
    }
    const int index = found->second;
    Worker &worker = state.m_workers[index];
    worker.m_lastRequestSentAt = report.m_requestSentAt;
    worker.m_isUnresponsive = false;
    ++worker.m_reportCount;
    refreshUsable(state, index, context.m_now);
    for (const TaskStatus &status : report.m_tasks) {
        Job *known = findJob(state, status.m_task.m_job);
        if (known != nullptr && canAdopt(*known, status)) {
            adopt(context, *known, index, status, report.m_requestSentAt);
        }
        if (Job *job = findCurrent(state, status, index)) {
            applyStatus(context, *job, status, report.m_requestSentAt);
        } else {
            rejectStatus(context, index, status);
        }
    }
    applyAbsences(context, index, report.m_requestSentAt);
}

void removeWorker(Context &context, const WorkerRemoved &event)
{
    State &state = context.m_state;
    const auto found = state.m_workerIndex.find(event.m_worker);
    if (found == state.m_workerIndex.end()) {
        return;
    }
    state.m_workers[found->second].m_listed = false;
    state.m_workers[found->second].m_removedAt = context.m_now;
    refreshUsable(state, found->second, context.m_now);
    const std::vector<TaskRef> tasks = state.m_workers[found->second].m_tasks;
    for (const TaskRef &ref : tasks) {
        Job &job = state.m_jobs.at(ref.m_job);
        endTask(context, job, ref.m_task);
        endAttempt(context, job, AttemptEnd::Lost, "worker " + event.m_worker.value() + " was removed");
    }
}

}
