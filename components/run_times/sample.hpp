#ifndef COMPONENTS_RUN_TIMES_SAMPLE_HPP
#define COMPONENTS_RUN_TIMES_SAMPLE_HPP

#include "components/fleet/time.hpp"
#include "components/jobs/step_id.hpp"
#include "components/run_times/task_class.hpp"
#include "components/workers/worker_incarnation.hpp"

namespace run_times
{

/// How far a run got in how much time. A run that is done has m_fraction 1.
struct Sample
{
    jobs::StepId m_step;
    TaskClass m_class;
    workers::WorkerIncarnation m_worker;
    /// The caller's estimate of the run time of one task.
    fleet::Duration m_estimate {0};
    fleet::Duration m_ran {0};
    /// Part of the task's work that was done in m_ran, from 0 to 1. 0 if not known: the run takes at least m_ran.
    double m_fraction = 0;
    bool m_isGang = false;
    bool m_isDone = false;
};

}

#endif
