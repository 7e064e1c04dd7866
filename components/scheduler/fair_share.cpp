#include "components/scheduler/fair_share.hpp"

#include "components/scheduler/progress.hpp"

#include <algorithm>

namespace scheduler
{

namespace
{

double fraction(std::int64_t part, std::int64_t whole)
{
    return whole > 0 ? static_cast<double>(part) / static_cast<double>(whole) : 0.0;
}

double seconds(fleet::Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

}

double weightedShare(const State &state, const fleet::AccountId &account, const fleet::Resources &capacity)
{
    const auto usage = state.m_usage.find(account);
    if (usage == state.m_usage.end()) {
        return 0.0;
    }
    const auto policy = state.m_accounts.find(account);
    const double weight = policy == state.m_accounts.end() ? 1.0 : std::max(0.001, policy->second.m_weight);
    const double accelerators = fraction(usage->second.m_accelerators, capacity.m_accelerators);
    const double cores = fraction(usage->second.m_milliCores, capacity.m_milliCores);
    return std::max(accelerators, cores) / weight;
}

bool isWithinQuota(const State &state, const fleet::JobSpec &spec)
{
    const auto account = state.m_accounts.find(spec.m_account);
    if (account == state.m_accounts.end()) {
        return false;
    }
    const auto usage = state.m_usage.find(spec.m_account);
    const fleet::Resources used = usage == state.m_usage.end() ? fleet::Resources {} : usage->second;
    return (used + spec.m_shape.total()).fitsIn(account->second.m_quota);
}

double responseRatio(const State &state, const Job &job, fleet::TimePoint now)
{
    const double runTime = std::max(1.0, seconds(remainingTime(state, job).m_expected));
    return (seconds(now - job.m_spec.m_submittedAt) + runTime) / runTime;
}

fleet::Resources usableCapacity(const State &state)
{
    fleet::Resources sum;
    for (const placement::Node &node : state.m_pool.m_nodes) {
        sum = node.m_usable ? sum + node.m_capacity : sum;
    }
    return sum;
}

}
