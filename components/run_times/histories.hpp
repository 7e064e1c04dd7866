#ifndef COMPONENTS_RUN_TIMES_HISTORIES_HPP
#define COMPONENTS_RUN_TIMES_HISTORIES_HPP

#include "components/fleet/boot_time.hpp"
#include "components/jobs/step_id.hpp"
#include "components/workers/worker_incarnation.hpp"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace run_times
{

/// Identifies a run among those of its step.
using RunKey = std::uint64_t;

/// The run time of one run of a step, projected from its progress if it is not done.
struct StepRun
{
    RunKey m_run = 0;
    workers::WorkerIncarnation m_worker;
    /// Natural logarithm of the run time in milliseconds.
    double m_logTime = 0;
    fleet::BootTime m_at;
    /// The run takes at least this long; its progress is not known.
    bool m_isLowerBound = false;
    bool m_isDone = false;
};

/// The runs of an open step.
struct StepHistory
{
    std::vector<StepRun> m_runs;
    /// Logarithm of the step's usual run time, and the number of its runs, when all its workers were last compared.
    double m_comparedWith = 0;
    std::size_t m_comparedRuns = 0;
};

/// Logarithm of the time of one run relative to the other runs of its step.
struct Comparison
{
    jobs::StepId m_step;
    RunKey m_run = 0;
    double m_logRatio = 0;
    double m_weight = 0;
    fleet::BootTime m_at;
};

/// What is known about a worker. The factor and the weight follow from the comparisons; they are kept because they are read often.
struct WorkerHistory
{
    std::int64_t m_startedAtMs = 0;
    /// From the oldest to the latest.
    std::vector<Comparison> m_comparisons;
    double m_logFactor = 0;
    /// What the comparisons alone show.
    double m_logMean = 0;
    /// Number of runs that the factor rests on, as of m_updatedAt.
    double m_weight = 0;
    fleet::BootTime m_updatedAt;
};

/// The usual run time of one step of a class.
struct ClassStep
{
    jobs::StepId m_step;
    /// Natural logarithms of the run time in milliseconds, of its ratio to the caller's estimate, and of the ratio of the 0.9 quantile
    /// to the median of the step's tasks.
    double m_logTime = 0;
    double m_logRatio = 0;
    double m_logSpread = 0;
};

/// The latest steps of a class, from the oldest to the latest.
struct ClassHistory
{
    std::vector<ClassStep> m_steps;
};

}

#endif
