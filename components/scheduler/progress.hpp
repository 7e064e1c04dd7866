#ifndef COMPONENTS_SCHEDULER_PROGRESS_HPP
#define COMPONENTS_SCHEDULER_PROGRESS_HPP

#include "components/scheduler/state.hpp"

namespace scheduler
{

/// Estimates the run time that the job still needs, given its checkpoint.
estimates::Estimate remainingTime(const State &state, const Job &job);

/// When the job's attempt has probably ended. An attempt that has outrun its estimate is taken to need as long again.
fleet::TimePoint probableEnd(const Job &job, fleet::TimePoint now);

/// Run time that stopping the attempt now would lose, restart included.
fleet::Duration lostTime(const State &state, const Job &job, fleet::TimePoint now);

}

#endif
