#include "components/scheduler/queue.hpp"

#include "components/scheduler/gangs.hpp"

#include <algorithm>

namespace scheduler
{

namespace
{

const char *const cancelReason = "cancelled by the caller";

void expire(std::map<fleet::JobId, fleet::TimePoint> &jobs, fleet::TimePoint limit)
{
    std::erase_if(jobs, [limit](const auto &entry) {
        return entry.second < limit;
    });
}

WaitingJob waitingJob(const Job &job)
{
    return {job.m_spec.m_submittedAt, job.m_spec.m_id};
}

void joinGroup(State &state, const Job &job)
{
    const GroupKey key = groupKey(job.m_spec);
    state.m_groups[key].m_jobs.insert(waitingJob(job));
    state.m_changedGroups.insert(key);
    state.m_isDirty = true;
}

}

void admitJob(Context &context, const JobArrived &event)
{
    State &state = context.m_state;
    if (state.m_ended.contains(event.m_spec.m_id) || state.m_jobs.contains(event.m_spec.m_id)) {
        return;
    }
    Job job;
    job.m_spec = event.m_spec;
    job.m_spec.m_shape.m_tasks = std::max(1, event.m_spec.m_shape.m_tasks);
    job.m_attempts = event.m_attempts;
    job.m_endedAttempt = std::max(0, event.m_attempts - 1);
    job.m_checkpointed = event.m_checkpointed;
    Job &kept = state.m_jobs.emplace(event.m_spec.m_id, std::move(job)).first->second;
    enqueue(state, kept, context.m_now);
    if (state.m_cancelledEarly.erase(event.m_spec.m_id) > 0) {
        endJob(context, kept, JobOutcome::Cancelled, cancelReason);
    }
}

void cancelJob(Context &context, const JobCancelRequested &event)
{
    State &state = context.m_state;
    const auto found = state.m_jobs.find(event.m_job);
    if (found == state.m_jobs.end()) {
        if (!state.m_ended.contains(event.m_job)) {
            state.m_cancelledEarly.emplace(event.m_job, context.m_now);
        }
        return;
    }
    if (found->second.m_attempt) {
        endAttempt(context, found->second, AttemptEnd::Cancelled, cancelReason);
    } else {
        endJob(context, found->second, JobOutcome::Cancelled, cancelReason);
    }
}

void endJob(Context &context, Job &job, JobOutcome outcome, const std::string &reason)
{
    State &state = context.m_state;
    context.m_actions.emplace_back(JobEnded {job.m_spec.m_id, job.m_attempts, outcome, reason});
    if (job.m_attempt) {
        forgetRetained(context, job);
    }
    dequeue(state, job);
    const fleet::JobId id = job.m_spec.m_id;
    state.m_active.erase(id);
    state.m_claims.erase(id);
    health::dropJob(state.m_health, id);
    state.m_ended.insert_or_assign(id, context.m_now);
    state.m_jobs.erase(id);
}

void enqueue(State &state, const Job &job, fleet::TimePoint now)
{
    const WaitingJob entry = waitingJob(job);
    state.m_waiting.insert(entry);
    if (job.m_notBefore > now) {
        state.m_delayed.insert({job.m_notBefore, job.m_spec.m_id});
    } else {
        joinGroup(state, job);
    }
}

void dequeue(State &state, const Job &job)
{
    std::erase_if(state.m_reservations, [&job](const Reservation &reservation) {
        return reservation.m_job == job.m_spec.m_id;
    });
    const WaitingJob entry = waitingJob(job);
    state.m_waiting.erase(entry);
    state.m_delayed.erase({job.m_notBefore, job.m_spec.m_id});
    const auto group = state.m_groups.find(groupKey(job.m_spec));
    if (group == state.m_groups.end()) {
        return;
    }
    group->second.m_jobs.erase(entry);
    if (group->second.m_jobs.empty()) {
        state.m_groups.erase(group);
    }
}

void releaseDelayed(State &state, fleet::TimePoint now)
{
    while (!state.m_delayed.empty() && state.m_delayed.begin()->m_submittedAt <= now) {
        const Job &job = state.m_jobs.at(state.m_delayed.begin()->m_job);
        state.m_delayed.erase(state.m_delayed.begin());
        joinGroup(state, job);
    }
}

std::vector<const GroupKey *> groupsToTry(const Context &context)
{
    const State &state = context.m_state;
    std::vector<const GroupKey *> keys;
    if (context.m_isFullPass) {
        keys.reserve(state.m_groups.size());
        for (const auto &[key, group] : state.m_groups) {
            keys.push_back(&key);
        }
        return keys;
    }
    for (const GroupKey &fresh : state.m_changedGroups) {
        const auto group = state.m_groups.find(fresh);
        if (group != state.m_groups.end()) {
            keys.push_back(&group->first);
        }
    }
    return keys;
}

GroupKey groupKey(const fleet::JobSpec &spec)
{
    return {spec.m_account, spec.m_kind, spec.m_urgency, spec.m_shape};
}

void expireEnded(Context &context)
{
    const fleet::TimePoint limit = context.m_now - context.m_state.m_settings.m_endedRetention;
    expire(context.m_state.m_ended, limit);
    expire(context.m_state.m_cancelledEarly, limit);
}

}
