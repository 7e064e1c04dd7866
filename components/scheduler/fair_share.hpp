#ifndef COMPONENTS_SCHEDULER_FAIR_SHARE_HPP
#define COMPONENTS_SCHEDULER_FAIR_SHARE_HPP

#include "components/scheduler/context.hpp"

namespace scheduler
{

/// The part of the zone's usable capacity that the account uses, by the resource it uses most of, relative to its weight.
double weightedShare(const State &state, const fleet::AccountId &account, const fleet::Resources &capacity);

/// True where the account may book the shape beside what it has booked.
bool isWithinQuota(const State &state, const fleet::JobSpec &spec);

/// How long the job has waited relative to how long it will run; the highest goes first within an account.
double responseRatio(const State &state, const Job &job, fleet::TimePoint now);

/// Capacity of the workers that may be used.
fleet::Resources usableCapacity(const State &state);

}

#endif
