#include "components/scheduler/feasibility.hpp"

#include "components/scheduler/preemption.hpp"
#include "components/scheduler/queue.hpp"

#include <algorithm>

namespace scheduler
{

namespace
{

std::string placeName(fleet::Adjacency adjacency)
{
    switch (adjacency) {
    case fleet::Adjacency::SameWorker:
        return "any worker";
    case fleet::Adjacency::SameRack:
        return "any rack";
    case fleet::Adjacency::SameZone:
        return "the availability zone";
    }
    return "the availability zone";
}

bool isGuaranteed(const ZoneAccount &account, const fleet::Shape &shape)
{
    return std::any_of(account.m_guarantees.begin(), account.m_guarantees.end(), [&shape](const fleet::Shape &guaranteed) {
        return shape.total().fitsIn(guaranteed.total());
    });
}

bool exceedsQuota(const State &state, const GroupKey &key)
{
    const auto account = state.m_accounts.find(key.m_account);
    if (state.m_settings.m_policy != Policy::Guaranteed || account == state.m_accounts.end()) {
        return false;
    }
    return !key.m_shape.total().fitsIn(account->second.m_quota) && !isGuaranteed(account->second, key.m_shape);
}

/// Returns the zone without running tasks: every worker that is listed or expected to be replaced is usable.
placement::Pool emptyZone(const State &state)
{
    placement::Pool pool = wholeCapacity(state);
    for (std::size_t worker = 0; worker < pool.m_nodes.size(); ++worker) {
        pool.m_nodes[worker].m_usable = state.m_workers[worker].m_isExpected;
    }
    return pool;
}

void endGroup(Context &context, const GroupKey &key, const std::string &reason)
{
    const std::set<WaitingJob> jobs = context.m_state.m_groups.at(key).m_jobs;
    for (const WaitingJob &entry : jobs) {
        endJob(context, context.m_state.m_jobs.at(entry.m_job), JobOutcome::CannotRun, reason);
    }
}

std::vector<GroupKey> groupsToCheck(const State &state)
{
    std::vector<GroupKey> keys;
    for (const auto &[key, group] : state.m_groups) {
        if (group.m_feasibleFleetVersion != state.m_fleetVersion) {
            keys.push_back(key);
        }
    }
    return keys;
}

}

void refuseInfeasible(Context &context)
{
    State &state = context.m_state;
    const bool isSettled = state.m_isRecoveryComplete && context.m_now - state.m_fleetChangedAt >= state.m_settings.m_fleetSettleTime;
    const std::vector<GroupKey> keys = isSettled ? groupsToCheck(state) : std::vector<GroupKey> {};
    if (keys.empty()) {
        return;
    }
    const placement::Pool zone = emptyZone(state);
    for (const GroupKey &key : keys) {
        if (exceedsQuota(state, key)) {
            endGroup(context, key, "larger than the quota of account " + key.m_account.value() + "; ask the operators for a larger quota or a smaller shape");
        } else if (!placement::place(zone, key.m_shape, placement::Rule::FirstFit)) {
            endGroup(context, key, "larger than " + placeName(key.m_shape.m_adjacency) + "; ask for fewer or smaller tasks");
        } else {
            state.m_groups.at(key).m_feasibleFleetVersion = state.m_fleetVersion;
        }
    }
}

}
