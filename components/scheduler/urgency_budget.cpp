#include "components/scheduler/urgency_budget.hpp"

#include <algorithm>

namespace scheduler
{

namespace
{

constexpr fleet::Duration budgetPeriod {3'600'000};

}

int urgentStartsOf(const State &state, const fleet::AccountId &account, fleet::TimePoint now)
{
    const auto found = state.m_urgentStarts.find(account);
    if (found == state.m_urgentStarts.end()) {
        return 0;
    }
    const auto &starts = found->second;
    return static_cast<int>(starts.end() - std::upper_bound(starts.begin(), starts.end(), now - budgetPeriod));
}

fleet::Urgency effectiveUrgency(const State &state, const Job &job, fleet::TimePoint now)
{
    const fleet::JobSpec &spec = job.m_spec;
    if (spec.m_urgency == fleet::Urgency::Background) {
        const bool isAged = now - spec.m_submittedAt >= state.m_settings.m_backgroundAging;
        return isAged ? fleet::Urgency::Normal : fleet::Urgency::Background;
    }
    if (spec.m_urgency == fleet::Urgency::Normal || job.m_isUrgentStartCounted) {
        return spec.m_urgency;
    }
    const auto account = state.m_accounts.find(spec.m_account);
    const int budget = account == state.m_accounts.end() ? 0 : account->second.m_urgentPerHour;
    return urgentStartsOf(state, spec.m_account, now) < budget ? fleet::Urgency::Urgent : fleet::Urgency::Normal;
}

void countUrgentStart(State &state, Job &job, fleet::TimePoint now)
{
    if (job.m_isUrgentStartCounted) {
        return;
    }
    job.m_isUrgentStartCounted = true;
    auto &starts = state.m_urgentStarts[job.m_spec.m_account];
    starts.erase(starts.begin(), std::upper_bound(starts.begin(), starts.end(), now - budgetPeriod));
    starts.push_back(now);
}

}
