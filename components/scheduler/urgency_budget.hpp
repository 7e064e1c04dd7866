#ifndef COMPONENTS_SCHEDULER_URGENCY_BUDGET_HPP
#define COMPONENTS_SCHEDULER_URGENCY_BUDGET_HPP

#include "components/scheduler/state.hpp"

namespace scheduler
{

/// Urgent starts that the account made in the last hour.
int urgentStartsOf(const State &state, const fleet::AccountId &account, fleet::TimePoint now);

/// The urgency that counts: Urgent only within the account's hourly budget; Background that has waited long is Normal.
fleet::Urgency effectiveUrgency(const State &state, const Job &job, fleet::TimePoint now);

/// Takes an urgent start from the account's budget, once for each job.
void countUrgentStart(State &state, Job &job, fleet::TimePoint now);

}

#endif
