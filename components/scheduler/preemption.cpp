#include "components/scheduler/preemption.hpp"

#include "components/reclaim/make_plan.hpp"
#include "components/scheduler/gangs.hpp"
#include "components/scheduler/progress.hpp"
#include "components/scheduler/queue.hpp"

#include <algorithm>

namespace scheduler
{

namespace
{

/// Weight of a lost accelerator second by urgency.
double weightOf(fleet::Urgency urgency)
{
    switch (urgency) {
    case fleet::Urgency::Background:
        return 0.5;
    case fleet::Urgency::Normal:
        return 1.0;
    case fleet::Urgency::Urgent:
        return 4.0;
    }
    return 1.0;
}

double costOf(const State &state, const Job &job, fleet::TimePoint now)
{
    /// Milli-cores of a whole worker, which together count as much as one accelerator.
    constexpr double milliCoresPerAccelerator = 16'000;
    const fleet::Resources total = job.m_spec.m_shape.total();
    const double size = static_cast<double>(total.m_accelerators) + static_cast<double>(total.m_milliCores) / milliCoresPerAccelerator;
    const double lostSeconds = std::chrono::duration<double>(lostTime(state, job, now)).count();
    return weightOf(job.m_attempt->m_urgency) * size * lostSeconds;
}

reclaim::Victim makeVictim(const State &state, const Job &job, fleet::TimePoint now)
{
    reclaim::Victim victim;
    victim.m_perTask = job.m_spec.m_shape.m_perTask;
    victim.m_cost = costOf(state, job, now);
    for (const TaskRun &task : job.m_attempt->m_tasks) {
        if (!task.m_over) {
            victim.m_nodes.push_back(task.m_worker);
        }
    }
    return victim;
}

bool isBorrower(const Job &job)
{
    return job.m_attempt->m_slot == noSlot && job.m_attempt->m_phase != AttemptPhase::Adopting;
}

}

std::optional<PreemptionPlan> planPreemption(const Context &context, const fleet::Shape &shape, const placement::Pool &ceiling, const VictimFilter &mayPreempt)
{
    const State &state = context.m_state;
    std::vector<reclaim::Victim> victims;
    std::vector<const Job *> jobs;
    for (const fleet::JobId &id : state.m_active) {
        const Job &job = state.m_jobs.at(id);
        if (isBorrower(job) && mayPreempt(job)) {
            victims.push_back(makeVictim(state, job, context.m_now));
            jobs.push_back(&job);
        }
    }
    auto plan = reclaim::makePlan(state.m_pool, ceiling, victims, shape);
    if (!plan) {
        return std::nullopt;
    }
    PreemptionPlan preemption {std::move(plan->m_assignment), {}, plan->m_cost};
    for (const std::size_t victim : plan->m_victims) {
        preemption.m_victims.push_back(jobs[victim]->m_spec.m_id);
    }
    return preemption;
}

placement::Pool wholeCapacity(const State &state)
{
    placement::Pool pool = state.m_pool;
    for (placement::Node &node : pool.m_nodes) {
        node.m_free = node.m_capacity;
    }
    return pool;
}

void startAfterPreempting(Context &context, Job &job, const PlacementDecision &decision, const std::vector<fleet::JobId> &victims)
{
    for (const fleet::JobId &id : victims) {
        preempt(context, context.m_state.m_jobs.at(id), "preempted for job " + job.m_spec.m_id.value());
    }
    beginAttempt(context, job, decision);
}

bool startUrgentByPreempting(Context &context, Job &job)
{
    auto &blocked = context.m_state.m_blockedReclaims;
    const GroupKey key = groupKey(job.m_spec);
    if (std::find(blocked.begin(), blocked.end(), key) != blocked.end()) {
        return false;
    }
    const auto preemption = planPreemption(context, job.m_spec.m_shape, wholeCapacity(context.m_state), [](const Job &victim) {
        return victim.m_attempt->m_urgency != fleet::Urgency::Urgent;
    });
    if (!preemption) {
        blocked.push_back(key);
        return false;
    }
    startAfterPreempting(context, job, {preemption->m_workers, noSlot, fleet::Urgency::Urgent}, preemption->m_victims);
    return true;
}

}
