#ifndef COMPONENTS_DISPATCH_RUN_TIME_SAMPLES_HPP
#define COMPONENTS_DISPATCH_RUN_TIME_SAMPLES_HPP

#include "components/jobs/run_end.hpp"
#include "components/jobs/run_id.hpp"
#include "components/run_times/task_class.hpp"

#include <cstdint>

namespace jobs
{
struct JobSpec;
}

namespace dispatch
{

struct Context;
struct RunState;

run_times::TaskClass taskClassOf(const jobs::JobSpec &job, std::uint16_t step);

/// Records what run time is expected of a run that is being launched, to measure the expectation at its end.
void expectRunTime(const Context &context, const jobs::RunId &id, RunState &run);

/// Begins the observation of a run that its worker has just started by order of this holder.
void observeStart(Context &context, RunState &run);

/// Learns from the progress of a run after it was reported. A run gives few samples, each of which replaces the one before.
void observeProgress(Context &context, const jobs::RunId &id, RunState &run);

/// Learns from the end of a run. One that was not done counts as a run that takes at least as long.
void observeEnd(Context &context, const jobs::RunId &id, const RunState &run, jobs::RunEnd end);

}

#endif
