#include "components/scheduler/status.hpp"

#include "components/placement/place.hpp"
#include "components/scheduler/fair_share.hpp"
#include "components/scheduler/urgency_budget.hpp"

#include <algorithm>

namespace scheduler
{

namespace
{

std::string secondsUntil(fleet::TimePoint time, fleet::TimePoint now)
{
    const auto left = std::chrono::ceil<std::chrono::seconds>(time - now);
    return std::to_string(std::max<std::int64_t>(0, left.count())) + " s";
}

std::string explainAttempt(const Attempt &attempt)
{
    switch (attempt.m_phase) {
    case AttemptPhase::Claiming:
        return "Waits until preempted gangs have left the chosen workers.";
    case AttemptPhase::Reserving:
        return "Waits for its workers to confirm the reservations.";
    case AttemptPhase::Adopting:
        return "Waits until every task is found again after a change of holder.";
    case AttemptPhase::Running:
        return attempt.m_slot != noSlot ? "Runs under its account's guarantee." : "Runs on borrowed capacity.";
    case AttemptPhase::Checkpointing:
        return "Writes a checkpoint before it is stopped: " + attempt.m_reason + ".";
    case AttemptPhase::Ending:
        return "Is being stopped: " + attempt.m_reason + ".";
    }
    return "Waits.";
}

std::string explainPlacement(const State &state, const Job &job, fleet::TimePoint now)
{
    for (const Reservation &reservation : state.m_reservations) {
        if (reservation.m_job == job.m_spec.m_id) {
            return "Waits for its reserved workers, expected to be free in " + secondsUntil(reservation.m_dueAt, now) + ".";
        }
    }
    if (!placement::place(state.m_pool, job.m_spec.m_shape, placement::Rule::FirstFit)) {
        return "Waits for capacity: no workers have " + std::to_string(job.m_spec.m_shape.m_tasks)
            + " times what one task needs free, as close together as it asks.";
    }
    if (!state.m_reservations.empty()) {
        return "Waits because it would delay a job that has waited longer and holds a reservation.";
    }
    return "Waits for its turn after other jobs.";
}

std::string explainWait(const State &state, const Job &job, fleet::TimePoint now)
{
    if (!state.m_startsAllowed) {
        return "Waits because no job may start in the availability zone at present.";
    }
    if (job.m_notBefore > now) {
        return "Waits " + secondsUntil(job.m_notBefore, now) + " before it is tried again after attempt " + std::to_string(job.m_attempts) + ".";
    }
    if (state.m_settings.m_policy == Policy::Guaranteed && !state.m_accounts.contains(job.m_spec.m_account)) {
        return "Waits because its account is not configured.";
    }
    if (state.m_settings.m_policy == Policy::Guaranteed && !isWithinQuota(state, job.m_spec)) {
        return "Waits because its account would exceed its quota.";
    }
    return explainPlacement(state, job, now);
}

void addJob(AccountStatus &status, const Job &job)
{
    if (!job.m_attempt) {
        ++status.m_waitingJobs;
        return;
    }
    ++status.m_runningJobs;
    for (const TaskRun &task : job.m_attempt->m_tasks) {
        if (task.m_over || task.m_worker == unknownWorker) {
            continue;
        }
        const fleet::Resources &perTask = job.m_spec.m_shape.m_perTask;
        status.m_used = status.m_used + perTask;
        fleet::Resources &part = job.m_attempt->m_slot != noSlot ? status.m_covered : status.m_borrowed;
        part = part + perTask;
    }
}

std::int64_t freeOn(const placement::Node &node)
{
    return node.m_usable ? std::max<std::int64_t>(0, node.m_free.m_accelerators) : 0;
}

std::int64_t freeAccelerators(const placement::Pool &pool)
{
    std::int64_t sum = 0;
    for (const placement::Node &node : pool.m_nodes) {
        sum += freeOn(node);
    }
    return sum;
}

/// Places as many of the waiting shapes as fit, the largest first, and returns the free accelerators left.
std::int64_t strandedAccelerators(const State &state)
{
    std::vector<std::pair<fleet::Shape, std::size_t>> waiting;
    for (const auto &[key, group] : state.m_groups) {
        if (key.m_shape.m_perTask.m_accelerators > 0) {
            waiting.emplace_back(key.m_shape, group.m_jobs.size());
        }
    }
    std::stable_sort(waiting.begin(), waiting.end(), [](const auto &a, const auto &b) {
        return a.first.total().m_accelerators > b.first.total().m_accelerators;
    });
    placement::Pool pool = state.m_pool;
    for (const auto &[shape, count] : waiting) {
        for (std::size_t placed = 0; placed < count; ++placed) {
            const auto workers = placement::place(pool, shape, placement::Rule::BestFit);
            if (!workers) {
                break;
            }
            placement::allocate(pool, *workers, shape.m_perTask);
        }
    }
    return waiting.empty() ? 0 : freeAccelerators(pool);
}

}

std::string explain(const State &state, const fleet::JobId &id, fleet::TimePoint now)
{
    const auto job = state.m_jobs.find(id);
    if (job == state.m_jobs.end()) {
        return state.m_ended.contains(id) ? "Has ended." : "Is not known in this availability zone.";
    }
    return job->second.m_attempt ? explainAttempt(*job->second.m_attempt) : explainWait(state, job->second, now);
}

std::vector<AccountStatus> accountStatuses(const State &state, fleet::TimePoint now)
{
    std::map<fleet::AccountId, AccountStatus> statuses;
    for (const auto &[id, account] : state.m_accounts) {
        AccountStatus &status = statuses[id];
        status.m_account = id;
        status.m_urgentLeft = std::max(0, account.m_urgentPerHour - urgentStartsOf(state, id, now));
    }
    for (const auto &[id, slot] : state.m_guarantees.m_slots) {
        AccountStatus &status = statuses[slot.m_account];
        status.m_guaranteed = status.m_guaranteed + slot.m_shape.total();
        status.m_unplacedShapes += slot.isPlaced() ? 0 : 1;
    }
    for (const auto &[id, job] : state.m_jobs) {
        const auto status = statuses.find(job.m_spec.m_account);
        if (status != statuses.end()) {
            addJob(status->second, job);
        }
    }
    std::vector<AccountStatus> result;
    result.reserve(statuses.size());
    for (auto &[id, status] : statuses) {
        result.push_back(std::move(status));
    }
    return result;
}

Fragmentation fragmentation(const State &state)
{
    Fragmentation result;
    result.m_freeAccelerators = freeAccelerators(state.m_pool);
    result.m_strandedAccelerators = strandedAccelerators(state);
    for (const std::vector<int> &rack : state.m_pool.m_racks) {
        std::int64_t inRack = 0;
        for (const int worker : rack) {
            const std::int64_t free = freeOn(state.m_pool.m_nodes[worker]);
            result.m_largestOnWorker = std::max(result.m_largestOnWorker, free);
            inRack += free;
        }
        result.m_largestInRack = std::max(result.m_largestInRack, inRack);
    }
    return result;
}

}
