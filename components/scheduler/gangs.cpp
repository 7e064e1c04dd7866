#include "components/scheduler/gangs.hpp"

#include "components/scheduler/allocations.hpp"
#include "components/scheduler/gang_timing.hpp"
#include "components/scheduler/progress.hpp"
#include "components/scheduler/queue.hpp"
#include "components/scheduler/urgency_budget.hpp"

#include <algorithm>

namespace scheduler
{

namespace
{

bool givesLease(CommandKind kind)
{
    return kind == CommandKind::Reserve || kind == CommandKind::Start || kind == CommandKind::Renew;
}

/// A renewal grants only the rest of a lease counted from the oldest confirmation in the gang: that task may have been
/// lost right after the confirmation, and the other tasks have to end within one lease of it.
fleet::Duration leaseLengthFor(const Context &context, const Job &job, CommandKind kind)
{
    const fleet::Duration whole = context.m_state.m_settings.m_leaseLength;
    if (kind != CommandKind::Renew) {
        return whole;
    }
    fleet::TimePoint oldestConfirmation = context.m_now;
    for (const TaskRun &task : job.m_attempt->m_tasks) {
        oldestConfirmation = task.m_over ? oldestConfirmation : std::min(oldestConfirmation, task.m_confirmedAt);
    }
    return std::max(fleet::Duration {0}, whole - (context.m_now - oldestConfirmation));
}

bool allTasks(const Attempt &attempt, bool (*predicate)(const TaskRun &))
{
    return std::all_of(attempt.m_tasks.begin(), attempt.m_tasks.end(), predicate);
}

bool isReserved(const TaskRun &task)
{
    return !task.m_over && task.m_phase == TaskPhase::Reserved;
}

bool isRunningOrDone(const TaskRun &task)
{
    return task.m_phase == TaskPhase::Running || task.m_phase == TaskPhase::Succeeded;
}

bool hasSucceeded(const TaskRun &task)
{
    return task.m_phase == TaskPhase::Succeeded;
}

bool isOver(const TaskRun &task)
{
    return task.m_over;
}

void enterPhase(Context &context, Attempt &attempt, AttemptPhase phase)
{
    attempt.m_phase = phase;
    attempt.m_phaseSince = context.m_now;
}

/// Starts all tasks of the gang together. Called once every task is reserved.
void startGang(Context &context, Job &job)
{
    Attempt &attempt = *job.m_attempt;
    AttemptStarted started {job.m_spec.m_id, attempt.m_number, {}};
    for (const TaskRun &task : attempt.m_tasks) {
        started.m_workers.push_back(context.m_state.m_workers[task.m_worker].m_info.m_id);
    }
    context.m_actions.emplace_back(std::move(started));
    enterPhase(context, attempt, AttemptPhase::Running);
    attempt.m_startedAt = context.m_now;
    attempt.m_renewedAt = context.m_now;
    for (int task = 0; task < static_cast<int>(attempt.m_tasks.size()); ++task) {
        sendCommand(context, job, task, CommandKind::Start);
    }
}

void keepCheckpoint(Job &job)
{
    const auto &tasks = job.m_attempt->m_tasks;
    const auto least = std::min_element(tasks.begin(), tasks.end(), [](const TaskRun &a, const TaskRun &b) {
        return a.m_checkpointed < b.m_checkpointed;
    });
    if (job.m_spec.m_checkpointable && least != tasks.end()) {
        job.m_checkpointed = std::max(job.m_checkpointed, least->m_checkpointed);
    }
}

void requeue(Context &context, Job &job)
{
    const Attempt &attempt = *job.m_attempt;
    const bool isFailure = attempt.m_end == AttemptEnd::Refused || attempt.m_end == AttemptEnd::Lost || attempt.m_end == AttemptEnd::TaskFailed;
    job.m_consecutiveFailures = isFailure ? job.m_consecutiveFailures + 1 : 0;
    job.m_notBefore = isFailure ? context.m_now + retryDelay(context.m_state.m_settings, job.m_consecutiveFailures) : context.m_now;
    context.m_actions.emplace_back(AttemptEnded {job.m_spec.m_id, attempt.m_number, job.m_checkpointed, attempt.m_reason});
    forgetRetained(context, job);
    job.m_endedAttempt = attempt.m_number;
    job.m_attempt.reset();
    context.m_state.m_active.erase(job.m_spec.m_id);
    enqueue(context.m_state, job, context.m_now);
}

void learnRunTime(Context &context, const Job &job)
{
    const Attempt &attempt = *job.m_attempt;
    fleet::Duration ran {0};
    for (const TaskRun &task : attempt.m_tasks) {
        ran = std::max(ran, task.m_ran);
    }
    if (ran == fleet::Duration::zero()) {
        ran = context.m_now - attempt.m_startedAt;
    }
    estimates::learn(context.m_state.m_runTimes, job.m_spec, attempt.m_resumedFrom + ran);
}

/// Ends the job or returns it to the queue. Called once every lease of the attempt is over.
void finishAttempt(Context &context, Job &job)
{
    const Attempt &attempt = *job.m_attempt;
    keepCheckpoint(job);
    if (allTasks(attempt, hasSucceeded)) {
        learnRunTime(context, job);
        endJob(context, job, JobOutcome::Done, "every task succeeded");
    } else if (attempt.m_end == AttemptEnd::Cancelled) {
        endJob(context, job, JobOutcome::Cancelled, attempt.m_reason);
    } else if (job.m_pendingOutcome) {
        endJob(context, job, *job.m_pendingOutcome, attempt.m_reason);
    } else {
        requeue(context, job);
    }
}

void advanceAdoption(Context &context, Job &job)
{
    Attempt &attempt = *job.m_attempt;
    const bool isLost = std::any_of(attempt.m_tasks.begin(), attempt.m_tasks.end(), [](const TaskRun &task) {
        return task.m_over && !hasSucceeded(task);
    });
    if (isLost) {
        endAttempt(context, job, AttemptEnd::Lost, "a task of the gang had ended when a new holder read the worker reports");
    } else if (allTasks(attempt, isRunningOrDone)) {
        enterPhase(context, attempt, AttemptPhase::Running);
        attempt.m_startedAt = context.m_now;
    }
}

void reserveIfCapacity(Context &context, Job &job)
{
    Attempt &attempt = *job.m_attempt;
    if (!hasCapacityForLeases(context.m_state, job)) {
        return;
    }
    context.m_state.m_claims.erase(job.m_spec.m_id);
    enterPhase(context, attempt, AttemptPhase::Reserving);
    for (int task = 0; task < static_cast<int>(attempt.m_tasks.size()); ++task) {
        addLease(context.m_state, job, task);
        refreshUsable(context.m_state, attempt.m_tasks[task].m_worker, context.m_now);
        sendCommand(context, job, task, CommandKind::Reserve);
    }
}

bool isCheckpointed(const TaskRun &task)
{
    return task.m_over || task.m_checkpointed >= task.m_requiredCheckpoint;
}

void advanceGang(Context &context, Job &job)
{
    Attempt &attempt = *job.m_attempt;
    if (attempt.m_phase == AttemptPhase::Checkpointing && allTasks(attempt, isCheckpointed)) {
        endAttempt(context, job, AttemptEnd::Preempted, attempt.m_reason);
    }
    if (attempt.m_phase == AttemptPhase::Adopting) {
        advanceAdoption(context, job);
    }
    if (attempt.m_phase == AttemptPhase::Reserving && allTasks(attempt, isReserved)) {
        startGang(context, job);
    }
    if (allTasks(attempt, isOver)) {
        finishAttempt(context, job);
    }
}

}

void beginAttempt(Context &context, Job &job, const PlacementDecision &decision)
{
    State &state = context.m_state;
    dequeue(state, job);
    if (decision.m_urgency == fleet::Urgency::Urgent) {
        countUrgentStart(state, job, context.m_now);
    }
    Attempt attempt;
    attempt.m_number = ++job.m_attempts;
    attempt.m_resumedFrom = job.m_checkpointed;
    attempt.m_placedAt = context.m_now;
    attempt.m_slot = decision.m_slot;
    attempt.m_urgency = decision.m_urgency;
    attempt.m_runTime = remainingTime(state, job);
    enterPhase(context, attempt, AttemptPhase::Claiming);
    for (const int worker : decision.m_workers) {
        attempt.m_tasks.push_back({.m_worker = worker, .m_checkpointed = job.m_checkpointed});
    }
    job.m_attempt = std::move(attempt);
    for (int task = 0; task < static_cast<int>(decision.m_workers.size()); ++task) {
        allocateTask(state, job, task);
    }
    state.m_active.insert(job.m_spec.m_id);
    state.m_claims.insert(job.m_spec.m_id);
    reserveIfCapacity(context, job);
}

void preempt(Context &context, Job &job, const std::string &reason)
{
    Attempt &attempt = *job.m_attempt;
    if (attempt.m_phase != AttemptPhase::Running || !job.m_spec.m_checkpointable) {
        if (attempt.m_phase != AttemptPhase::Checkpointing) {
            endAttempt(context, job, AttemptEnd::Preempted, reason);
        }
        return;
    }
    enterPhase(context, attempt, AttemptPhase::Checkpointing);
    attempt.m_reason = reason;
    for (int task = 0; task < static_cast<int>(attempt.m_tasks.size()); ++task) {
        TaskRun &run = attempt.m_tasks[task];
        if (!run.m_over) {
            run.m_requiredCheckpoint = attempt.m_resumedFrom + run.m_ran;
            sendCommand(context, job, task, CommandKind::Checkpoint);
        }
    }
}

void advanceClaims(Context &context)
{
    const std::set<fleet::JobId> claims = context.m_state.m_claims;
    for (const fleet::JobId &id : claims) {
        reserveIfCapacity(context, context.m_state.m_jobs.at(id));
    }
}

void endAttempt(Context &context, Job &job, AttemptEnd end, const std::string &reason)
{
    Attempt &attempt = *job.m_attempt;
    context.m_changedJobs.insert(job.m_spec.m_id);
    if (attempt.m_phase != AttemptPhase::Ending || end == AttemptEnd::Cancelled) {
        attempt.m_end = end;
        attempt.m_reason = reason;
    }
    if (attempt.m_phase == AttemptPhase::Ending) {
        return;
    }
    context.m_state.m_claims.erase(job.m_spec.m_id);
    enterPhase(context, attempt, AttemptPhase::Ending);
    for (int task = 0; task < static_cast<int>(attempt.m_tasks.size()); ++task) {
        TaskRun &run = attempt.m_tasks[task];
        if (run.m_worker == unknownWorker) {
            run.m_over = true;
        } else if (!run.m_isLeased) {
            endTask(context, job, task);
        } else if (!run.m_over) {
            sendCommand(context, job, task, CommandKind::Stop);
        }
    }
}

void endTask(Context &context, Job &job, int task)
{
    TaskRun &run = job.m_attempt->m_tasks[task];
    if (run.m_over) {
        return;
    }
    run.m_over = true;
    releaseTask(context.m_state, job, task);
    removeLease(context.m_state, job, task);
    refreshUsable(context.m_state, run.m_worker, context.m_now);
    context.m_changedJobs.insert(job.m_spec.m_id);
}

void advanceGangs(Context &context)
{
    while (!context.m_changedJobs.empty()) {
        const fleet::JobId id = *context.m_changedJobs.begin();
        context.m_changedJobs.erase(context.m_changedJobs.begin());
        const auto found = context.m_state.m_jobs.find(id);
        if (found != context.m_state.m_jobs.end() && found->second.m_attempt) {
            advanceGang(context, found->second);
        }
    }
}

void tickGangs(Context &context)
{
    for (const fleet::JobId &id : context.m_state.m_active) {
        tickGang(context, context.m_state.m_jobs.at(id));
    }
}

void forgetRetained(Context &context, Job &job)
{
    for (int task = 0; task < static_cast<int>(job.m_attempt->m_tasks.size()); ++task) {
        if (job.m_attempt->m_tasks[task].m_isRetained) {
            sendCommand(context, job, task, CommandKind::Forget);
        }
    }
}

void sendCommand(Context &context, Job &job, int task, CommandKind kind)
{
    TaskRun &run = job.m_attempt->m_tasks[task];
    WorkerCommand command;
    command.m_worker = context.m_state.m_workers[run.m_worker].m_info.m_id;
    command.m_kind = kind;
    command.m_task = taskRef(job, task);
    if (givesLease(kind)) {
        command.m_leaseLength = leaseLengthFor(context, job, kind);
        run.m_leasedAt = context.m_now;
    }
    if (kind == CommandKind::Reserve) {
        command.m_resources = job.m_spec.m_shape.m_perTask;
    }
    if (kind == CommandKind::Start) {
        command.m_resumeFrom = job.m_attempt->m_resumedFrom;
    }
    if (kind == CommandKind::Stop) {
        run.m_stoppedAt = context.m_now;
    }
    context.m_actions.emplace_back(std::move(command));
}

}
