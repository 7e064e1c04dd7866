#ifndef COMPONENTS_SCHEDULER_PROGRESS_HPP
#define COMPONENTS_SCHEDULER_PROGRESS_HPP

#include "components/scheduler/state.hpp"

namespace scheduler
{

/// Estimates the run time that the job still needs, given its checkpoint.
estimates::Estimate remainingTime(const State &state, const Job &job);

/// Estimates when the job's attempt ends. An attempt that has exceeded its estimate is assumed to take as long again as
/// it has taken so far.
fleet::TimePoint probableEnd(const Job &job, fleet::TimePoint now);

/// Run time lost if the attempt were stopped now, including the cost of a restart.
fleet::Duration lostTime(const State &state, const Job &job, fleet::TimePoint now);

}

#endif
