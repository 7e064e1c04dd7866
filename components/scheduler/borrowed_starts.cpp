#include "components/scheduler/borrowed_starts.hpp"

#include "components/scheduler/fair_share.hpp"
#include "components/scheduler/gangs.hpp"
#include "components/scheduler/place_avoiding.hpp"
#include "components/scheduler/preemption.hpp"
#include "components/scheduler/progress.hpp"
#include "components/scheduler/queue.hpp"
#include "components/scheduler/reservations.hpp"
#include "components/scheduler/urgency_budget.hpp"

#include <algorithm>

namespace scheduler
{

namespace
{

/// A group and the response ratio of its first job. The key points into `State::m_groups`.
struct RankedGroup
{
    double m_ratio = 0;
    const GroupKey *m_key = nullptr;

    bool operator<(const RankedGroup &other) const
    {
        return m_ratio != other.m_ratio ? m_ratio < other.m_ratio : *m_key < *other.m_key;
    }
};

/// Groups of one account that may have a job to start, the best last.
struct AccountQueue
{
    fleet::AccountId m_account;
    /// Weighted share of the zone that the account uses.
    double m_share = 0;
    std::vector<RankedGroup> m_groups;
};

/// Data shared by one pass over the groups.
struct Pass
{
    fleet::Urgency m_urgency;
    fleet::Resources m_capacity;
    /// Free capacity outside the reservations.
    placement::Pool m_outsideReservations;
    /// Shapes found not to fit outside the reservations.
    std::vector<fleet::Shape> m_blockedOutside;
};

Job &firstJob(State &state, const Group &group)
{
    return state.m_jobs.at(group.m_jobs.begin()->m_job);
}

bool contains(const std::vector<fleet::Shape> &shapes, const fleet::Shape &shape)
{
    return std::find(shapes.begin(), shapes.end(), shape) != shapes.end();
}

/// True if the shape fits nowhere, even on reserved workers. Each shape is tried once in a pass.
bool isBlocked(State &state, const fleet::Shape &shape, std::vector<fleet::Shape> &fitting)
{
    if (contains(fitting, shape)) {
        return false;
    }
    if (contains(state.m_blockedShapes, shape)) {
        return true;
    }
    const bool fits = placement::place(state.m_pool, shape, placement::Rule::FirstFit).has_value();
    (fits ? fitting : state.m_blockedShapes).push_back(shape);
    return !fits;
}

std::vector<AccountQueue> makeQueues(Context &context, const Pass &pass)
{
    State &state = context.m_state;
    std::vector<AccountQueue> queues;
    std::vector<fleet::Shape> fitting;
    for (const GroupKey *key : groupsToTry(context)) {
        if (isBlocked(state, key->m_shape, fitting)) {
            continue;
        }
        const Job &job = firstJob(state, state.m_groups.at(*key));
        if (effectiveUrgency(state, job, context.m_now) != pass.m_urgency) {
            continue;
        }
        if (queues.empty() || queues.back().m_account != key->m_account) {
            queues.push_back({key->m_account, weightedShare(state, key->m_account, pass.m_capacity), {}});
        }
        queues.back().m_groups.push_back({responseRatio(state, job, context.m_now), key});
    }
    for (AccountQueue &queue : queues) {
        std::sort(queue.m_groups.begin(), queue.m_groups.end());
    }
    return queues;
}

/// Returns the account with the smallest weighted share among those with groups left.
AccountQueue *nextAccount(std::vector<AccountQueue> &queues)
{
    AccountQueue *next = nullptr;
    for (AccountQueue &queue : queues) {
        if (!queue.m_groups.empty() && (next == nullptr || queue.m_share < next->m_share)) {
            next = &queue;
        }
    }
    return next;
}

std::optional<placement::Assignment> placeOutsideReservations(const State &state, const Job &job, Pass &pass)
{
    const fleet::Shape &shape = job.m_spec.m_shape;
    if (contains(pass.m_blockedOutside, shape)) {
        return std::nullopt;
    }
    auto workers = placeAvoiding(state, pass.m_outsideReservations, job);
    if (!workers) {
        pass.m_blockedOutside.push_back(shape);
    }
    return workers;
}

/// Conservative backfill: a job that is expected to end before the first reservation is due may use all free capacity.
std::optional<placement::Assignment> placeBorrower(Context &context, const Job &job, Pass &pass)
{
    State &state = context.m_state;
    const bool endsBeforeReservations = context.m_now + remainingTime(state, job).m_upper <= earliestDue(state);
    if (!state.m_reservations.empty() && !endsBeforeReservations) {
        return placeOutsideReservations(state, job, pass);
    }
    auto workers = placeAvoiding(state, state.m_pool, job);
    if (!workers) {
        state.m_blockedShapes.push_back(job.m_spec.m_shape);
    }
    return workers;
}

bool startBorrower(Context &context, Job &job, Pass &pass)
{
    if (contains(context.m_state.m_blockedShapes, job.m_spec.m_shape) || !isWithinQuota(context.m_state, job.m_spec)) {
        return false;
    }
    const auto workers = placeBorrower(context, job, pass);
    if (!workers) {
        return false;
    }
    placement::allocate(pass.m_outsideReservations, *workers, job.m_spec.m_shape.m_perTask);
    beginAttempt(context, job, {*workers, noSlot, pass.m_urgency});
    return true;
}

/// Tries the account's best group once. The group stays in the queue as long as its jobs start.
void tryBestGroup(Context &context, AccountQueue &queue, Pass &pass)
{
    State &state = context.m_state;
    const GroupKey key = *queue.m_groups.back().m_key;
    queue.m_groups.pop_back();
    if (!startBorrower(context, firstJob(state, state.m_groups.at(key)), pass)) {
        return;
    }
    queue.m_share = weightedShare(state, queue.m_account, pass.m_capacity);
    const auto group = state.m_groups.find(key);
    if (group == state.m_groups.end()) {
        return;
    }
    const Job &next = firstJob(state, group->second);
    if (effectiveUrgency(state, next, context.m_now) == pass.m_urgency) {
        queue.m_groups.push_back({responseRatio(state, next, context.m_now), &group->first});
        std::sort(queue.m_groups.begin(), queue.m_groups.end());
    }
}

bool startUrgentJob(Context &context, Job &job)
{
    State &state = context.m_state;
    if (!isWithinQuota(state, job.m_spec) || effectiveUrgency(state, job, context.m_now) != fleet::Urgency::Urgent) {
        return false;
    }
    if (const auto workers = placeAvoiding(state, state.m_pool, job)) {
        beginAttempt(context, job, {*workers, noSlot, fleet::Urgency::Urgent});
    } else if (!startUrgentByPreempting(context, job)) {
        return false;
    }
    return true;
}

}

void startBorrowers(Context &context, fleet::Urgency urgency)
{
    Pass pass {urgency, usableCapacity(context.m_state), poolOutsideReservations(context.m_state), {}};
    std::vector<AccountQueue> queues = makeQueues(context, pass);
    while (AccountQueue *queue = nextAccount(queues)) {
        tryBestGroup(context, *queue, pass);
    }
}

void startUrgent(Context &context)
{
    State &state = context.m_state;
    std::vector<GroupKey> keys;
    for (const GroupKey *key : groupsToTry(context)) {
        if (key->m_urgency == fleet::Urgency::Urgent) {
            keys.push_back(*key);
        }
    }
    for (const GroupKey &key : keys) {
        auto group = state.m_groups.find(key);
        while (group != state.m_groups.end() && startUrgentJob(context, firstJob(state, group->second))) {
            group = state.m_groups.find(key);
        }
    }
}

}
