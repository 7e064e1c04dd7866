#ifndef COMPONENTS_SCHEDULER_URGENCY_BUDGET_HPP
#define COMPONENTS_SCHEDULER_URGENCY_BUDGET_HPP

#include "components/scheduler/state.hpp"

namespace scheduler
{

/// Returns the number of urgent starts of the account in the last hour.
int urgentStartsOf(const State &state, const fleet::AccountId &account, fleet::TimePoint now);

/// Returns the effective urgency: Urgent only within the account's hourly budget; Background becomes Normal after
/// `m_backgroundAging`.
fleet::Urgency effectiveUrgency(const State &state, const Job &job, fleet::TimePoint now);

/// Counts an urgent start against the account's budget, once for each job.
void countUrgentStart(State &state, Job &job, fleet::TimePoint now);

}

#endif
