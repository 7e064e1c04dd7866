#ifndef COMPONENTS_RUN_TIMES_MODEL_HPP
#define COMPONENTS_RUN_TIMES_MODEL_HPP

#include "components/fleet/identifiers.hpp"
#include "components/run_times/factor_distribution.hpp"
#include "components/run_times/histories.hpp"
#include "components/run_times/recent_map.hpp"
#include "components/run_times/task_class.hpp"

#include <cstddef>
#include <cstdint>

namespace run_times
{

/// Bounds for twice the largest deployment, which has 550 workers and 5,800 running tasks in steps of 5 to 40.
constexpr std::size_t maxWorkers = 1100;
constexpr std::size_t maxSteps = 600;
constexpr std::size_t maxClasses = 256;

/// Run times learned of workers and classes of tasks.
struct Model
{
    RecentMap<fleet::WorkerId, WorkerHistory> m_workers {maxWorkers};
    RecentMap<jobs::StepId, StepHistory> m_steps {maxSteps};
    RecentMap<TaskClass, ClassHistory> m_classes {maxClasses};
    /// Distribution of the factors in m_workers, derived from time to time.
    FactorDistribution m_distribution;
    std::uint64_t m_samples = 0;
    /// The step whose runs were last compared again.
    jobs::StepId m_refinedStep;
    /// Number of samples that came without the id of their run.
    RunKey m_unnamedRuns = 0;
};

}

#endif
