#include "components/scheduler/gang_timing.hpp"

#include "components/scheduler/allocations.hpp"
#include "components/scheduler/gangs.hpp"

#include <algorithm>

namespace scheduler
{

namespace
{

bool isLive(const TaskRun &task)
{
    return !task.m_over && task.m_worker != unknownWorker;
}

const std::string &workerName(const State &state, const TaskRun &task)
{
    return state.m_workers[task.m_worker].m_info.m_id.value();
}

/// Marks the worker as unresponsive if it sent no report since the command. It is not used until its next report.
void markUnresponsive(State &state, const TaskRun &task, fleet::TimePoint now)
{
    Worker &worker = state.m_workers[task.m_worker];
    if (worker.m_lastRequestSentAt < task.m_leasedAt) {
        worker.m_isUnresponsive = true;
        refreshUsable(state, task.m_worker, now);
    }
}

void endIfUnanswered(Context &context, Job &job, TaskPhase awaited)
{
    const Attempt &attempt = *job.m_attempt;
    if (context.m_now - attempt.m_phaseSince < context.m_state.m_settings.m_answerTimeout) {
        return;
    }
    const TaskRun *unanswered = nullptr;
    for (const TaskRun &task : attempt.m_tasks) {
        if (isLive(task) && task.m_phase != awaited) {
            unanswered = &task;
            markUnresponsive(context.m_state, task, context.m_now);
        }
    }
    if (unanswered != nullptr) {
        endAttempt(context, job, AttemptEnd::Refused, "worker " + workerName(context.m_state, *unanswered) + " did not answer in time");
    }
}

/// Ends the attempt if the lease of one task may have expired, because the rest of the gang has to end too.
bool endIfUnconfirmed(Context &context, Job &job)
{
    const fleet::TimePoint limit = context.m_now - context.m_state.m_settings.m_leaseLength;
    for (const TaskRun &task : job.m_attempt->m_tasks) {
        if (isLive(task) && task.m_confirmedAt <= limit) {
            markUnresponsive(context.m_state, task, context.m_now);
            endAttempt(context, job, AttemptEnd::Lost, "worker " + workerName(context.m_state, task) + " did not confirm its lease in time");
            return true;
        }
    }
    return false;
}

/// Periodic checkpoints bound the run time lost with a worker or an expired lease.
bool isCheckpointDue(const Context &context, const Job &job)
{
    const Attempt &attempt = *job.m_attempt;
    const fleet::Duration interval = context.m_state.m_settings.m_checkpointInterval;
    const bool mayCheckpoint = job.m_spec.m_checkpointable && attempt.m_phase == AttemptPhase::Running && interval > fleet::Duration {0};
    return mayCheckpoint && context.m_now - std::max(attempt.m_startedAt, attempt.m_checkpointRequestedAt) >= interval;
}

/// All gangs renew at the same multiples of the renew interval. So the commands to one worker share one message, and the
/// worker sends its report of every lease once per interval.
bool isRenewalDue(const Context &context, const Attempt &attempt)
{
    const fleet::Duration interval = context.m_state.m_settings.m_renewInterval;
    return context.m_now.time_since_epoch() / interval != attempt.m_renewedAt.time_since_epoch() / interval;
}

void renewGang(Context &context, Job &job)
{
    Attempt &attempt = *job.m_attempt;
    if (!isRenewalDue(context, attempt)) {
        return;
    }
    const bool isConfirmed = std::all_of(attempt.m_tasks.begin(), attempt.m_tasks.end(), [](const TaskRun &task) {
        return task.m_over || task.m_confirmedAt >= task.m_leasedAt;
    });
    if (!isConfirmed) {
        return;
    }
    attempt.m_renewedAt = context.m_now;
    const bool requestsCheckpoint = isCheckpointDue(context, job);
    for (int task = 0; task < static_cast<int>(attempt.m_tasks.size()); ++task) {
        if (attempt.m_tasks[task].m_over) {
            continue;
        }
        sendCommand(context, job, task, CommandKind::Renew);
        if (requestsCheckpoint) {
            sendCommand(context, job, task, CommandKind::Checkpoint);
        }
    }
    attempt.m_checkpointRequestedAt = requestsCheckpoint ? context.m_now : attempt.m_checkpointRequestedAt;
}

void tickEnding(Context &context, Job &job)
{
    const Settings &settings = context.m_state.m_settings;
    Attempt &attempt = *job.m_attempt;
    for (int task = 0; task < static_cast<int>(attempt.m_tasks.size()); ++task) {
        const TaskRun &run = attempt.m_tasks[task];
        if (run.m_over) {
            continue;
        }
        if (context.m_now >= run.m_leasedAt + settings.m_leaseLength + settings.m_leaseExpiryMargin) {
            markUnresponsive(context.m_state, run, context.m_now);
            endTask(context, job, task);
        } else if (context.m_now - run.m_stoppedAt >= settings.m_renewInterval) {
            sendCommand(context, job, task, CommandKind::Stop);
        }
    }
}

void tickAdopting(Context &context, Job &job)
{
    const bool isLate = context.m_now - job.m_attempt->m_phaseSince >= context.m_state.m_settings.m_answerTimeout;
    if (context.m_state.m_isRecoveryComplete && isLate) {
        endAttempt(context, job, AttemptEnd::Lost, "a new holder did not find every task of the gang on the workers");
    }
}

/// Ends the attempt if its capacity is not free within the longest time that stopping a gang takes.
void tickClaiming(Context &context, Job &job)
{
    const Settings &settings = context.m_state.m_settings;
    const fleet::Duration limit = settings.m_checkpointGrace + settings.m_leaseLength + settings.m_leaseExpiryMargin + settings.m_answerTimeout;
    const Attempt &attempt = *job.m_attempt;
    const bool isUsable = std::all_of(attempt.m_tasks.begin(), attempt.m_tasks.end(), [&context](const TaskRun &task) {
        return context.m_state.m_pool.m_nodes[task.m_worker].m_usable;
    });
    if (!isUsable || context.m_now - attempt.m_phaseSince >= limit) {
        endAttempt(context, job, AttemptEnd::Refused, "the chosen workers became unusable or their capacity was not freed in time");
    }
}

void endIfGraceOver(Context &context, Job &job)
{
    const Attempt &attempt = *job.m_attempt;
    const bool isOver = context.m_now - attempt.m_phaseSince >= context.m_state.m_settings.m_checkpointGrace;
    if (attempt.m_phase == AttemptPhase::Checkpointing && isOver) {
        endAttempt(context, job, AttemptEnd::Preempted, attempt.m_reason);
    }
}

}

void tickGang(Context &context, Job &job)
{
    switch (job.m_attempt->m_phase) {
    case AttemptPhase::Claiming:
        tickClaiming(context, job);
        break;
    case AttemptPhase::Reserving:
        endIfUnanswered(context, job, TaskPhase::Reserved);
        break;
    case AttemptPhase::Adopting:
        tickAdopting(context, job);
        break;
    case AttemptPhase::Running:
    case AttemptPhase::Checkpointing:
        endIfUnanswered(context, job, TaskPhase::Running);
        endIfGraceOver(context, job);
        if (job.m_attempt->m_phase != AttemptPhase::Ending && !endIfUnconfirmed(context, job)) {
            renewGang(context, job);
        }
        break;
    case AttemptPhase::Ending:
        tickEnding(context, job);
        break;
    }
}

fleet::Duration retryDelay(const Settings &settings, int consecutiveFailures)
{
    const int doublings = std::clamp(consecutiveFailures - 1, 0, 16);
    return std::min(settings.m_retryMax, settings.m_retryBase * (1 << doublings));
}

}
