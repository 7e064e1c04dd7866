#include "components/dispatch/disruption_budget.hpp"

#include "components/dispatch/context.hpp"
#include "components/dispatch/runs.hpp"

namespace dispatch
{

namespace
{

/// Progress that a long-running task reports once it is ready.
constexpr int readyPercent = 100;

/// Counts the tasks of the step that are not ready or are being stopped.
std::int32_t countUnavailable(const Context &context, const jobs::StepId &step)
{
    std::int32_t ready = 0;
    const auto first = context.m_state.m_runs.lower_bound({{step, 0}, 0});
    for (auto run = first; run != context.m_state.m_runs.end() && run->first.m_task.m_step == step; ++run) {
        const bool isReady = run->second.m_phase == RunPhase::Running && run->second.m_percent >= readyPercent && !run->second.m_isStopRequested;
        ready += isReady ? 1 : 0;
    }
    return static_cast<std::int32_t>(stepOf(context, step).m_tasks) - ready;
}

}

bool useDisruptionBudget(const Context &context, const jobs::RunId &run, UnavailableTasks &unavailable)
{
    const jobs::StepId &step = run.m_task.m_step;
    const std::int32_t most = stepOf(context, step).m_maxUnavailable;
    if (most < 0) {
        return true;
    }
    const auto [entry, isNew] = unavailable.try_emplace(step, 0);
    if (isNew) {
        entry->second = countUnavailable(context, step);
    }
    if (entry->second >= most) {
        return false;
    }
    ++entry->second;
    return true;
}

}
