#include "components/scheduler/admission.hpp"

#include "components/scheduler/borrowed_starts.hpp"
#include "components/scheduler/gangs.hpp"
#include "components/scheduler/guarantee_coverage.hpp"
#include "components/scheduler/queue.hpp"
#include "components/scheduler/reservations.hpp"

#include <algorithm>

namespace scheduler
{

namespace
{

bool isBlocked(const State &state, const fleet::Shape &shape)
{
    return std::find(state.m_blockedShapes.begin(), state.m_blockedShapes.end(), shape) != state.m_blockedShapes.end();
}

void admitFifo(Context &context)
{
    State &state = context.m_state;
    for (auto entry = state.m_waiting.begin(); entry != state.m_waiting.end();) {
        Job &job = state.m_jobs.at(entry->m_job);
        ++entry;
        const fleet::Shape &shape = job.m_spec.m_shape;
        if (job.m_notBefore > context.m_now || isBlocked(state, shape)) {
            continue;
        }
        if (const auto workers = placement::place(state.m_pool, shape, placement::Rule::FirstFit)) {
            beginAttempt(context, job, {*workers, noSlot, job.m_spec.m_urgency});
        } else {
            state.m_blockedShapes.push_back(shape);
        }
    }
}

/// Returns the accounts with a guaranteed shape that is not fully used.
std::set<fleet::AccountId> accountsWithUnusedGuarantees(const State &state)
{
    std::set<fleet::AccountId> accounts;
    for (const auto &[id, slot] : state.m_guarantees.m_slots) {
        if (guarantees::unusedPart(slot) != fleet::Resources {}) {
            accounts.insert(slot.m_account);
        }
    }
    return accounts;
}

/// Starts jobs that guarantees cover, the most urgent first.
void startAllCovered(Context &context)
{
    State &state = context.m_state;
    const std::set<fleet::AccountId> accounts = accountsWithUnusedGuarantees(state);
    std::vector<GroupKey> keys;
    for (const GroupKey *key : groupsToTry(context)) {
        if (accounts.contains(key->m_account)) {
            keys.push_back(*key);
        }
    }
    std::stable_sort(keys.begin(), keys.end(), [](const GroupKey &a, const GroupKey &b) {
        return a.m_urgency > b.m_urgency;
    });
    for (const GroupKey &key : keys) {
        auto group = state.m_groups.find(key);
        while (group != state.m_groups.end() && startCovered(context, state.m_jobs.at(group->second.m_jobs.begin()->m_job))) {
            group = state.m_groups.find(key);
        }
    }
}

void admitGuaranteed(Context &context)
{
    repairSlots(context);
    startAllCovered(context);
    startUrgent(context);
    startReserved(context);
    startBorrowers(context, fleet::Urgency::Normal);
    startBorrowers(context, fleet::Urgency::Background);
    if (context.m_isTick) {
        makeReservations(context);
        repack(context);
    }
}

}

void admitWaiting(Context &context)
{
    State &state = context.m_state;
    if (!state.m_startsAllowed || !state.m_isDirty) {
        return;
    }
    state.m_isDirty = false;
    context.m_isFullPass = state.m_isFreed || context.m_isTick;
    if (context.m_isTick) {
        state.m_blockedReclaims.clear();
    }
    if (state.m_isFreed) {
        state.m_blockedShapes.clear();
        state.m_isFreed = false;
    }
    if (state.m_settings.m_policy == Policy::FirstFitFifo) {
        admitFifo(context);
    } else {
        admitGuaranteed(context);
    }
    state.m_changedGroups.clear();
}

}
