#ifndef COMPONENTS_RUN_TIMES_RUN_TIMES_HPP
#define COMPONENTS_RUN_TIMES_RUN_TIMES_HPP

#include "components/fleet/boot_time.hpp"
#include "components/jobs/run_id.hpp"
#include "components/run_times/expectation.hpp"
#include "components/run_times/model.hpp"
#include "components/run_times/sample.hpp"
#include "components/run_times/task_class.hpp"
#include "components/run_times/worker_speed.hpp"

namespace run_times
{

/// Learns from one sample of a run that has no other samples.
void learn(Model &model, const Sample &sample, fleet::BootTime now);

/// Learns from a sample of the given run. It replaces the earlier samples of the run, so that the run counts once.
void learn(Model &model, const jobs::RunId &run, const Sample &sample, fleet::BootTime now);

/// Run time of the worker relative to the usual worker: 1 is usual, 1.5 takes half as long again. 1 if unknown.
WorkerSpeed speedOf(const Model &model, const workers::WorkerIncarnation &worker, fleet::BootTime now);

/// Expected run time of a task of the class on a worker of usual speed. It rests on the ratio of earlier run times to their estimates,
/// or on the run times themselves, whichever varied less between the steps of the class.
Expectation expect(const Model &model, const TaskClass &taskClass, fleet::Duration estimate, fleet::BootTime now);

}

#endif
