#ifndef COMPONENTS_SCHEDULER_FAIR_SHARE_HPP
#define COMPONENTS_SCHEDULER_FAIR_SHARE_HPP

#include "components/scheduler/context.hpp"

namespace scheduler
{

/// Returns the account's dominant share of the zone's usable capacity (accelerators or cores) divided by its weight.
double weightedShare(const State &state, const fleet::AccountId &account, const fleet::Resources &capacity);

/// True if the account's allocations together with the job's shape stay within its quota.
bool isWithinQuota(const State &state, const fleet::JobSpec &spec);

/// Returns (waiting time + expected run time) / expected run time. Within an account the highest ratio starts first.
double responseRatio(const State &state, const Job &job, fleet::TimePoint now);

/// Sum of the capacity of all usable workers.
fleet::Resources usableCapacity(const State &state);

}

#endif
