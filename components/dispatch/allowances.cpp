#include "components/dispatch/allowances.hpp"

#include "components/dispatch/context.hpp"
#include "components/dispatch/runs.hpp"

namespace dispatch
{

namespace
{

/// Progress of a lasting task that is at work.
constexpr int wholePercent = 100;

/// Tasks of the step that are not at work, or are being stopped.
std::int32_t countAway(const Context &context, const jobs::StepId &step)
{
    std::int32_t atWork = 0;
    const auto first = context.m_state.m_runs.lower_bound({{step, 0}, 0});
    for (auto run = first; run != context.m_state.m_runs.end() && run->first.m_task.m_step == step; ++run) {
        const bool isAtWork = run->second.m_phase == RunPhase::Running && run->second.m_percent >= wholePercent && !run->second.m_stopWanted;
        atWork += isAtWork ? 1 : 0;
    }
    return static_cast<std::int32_t>(stepOf(context, step).m_tasks) - atWork;
}

}

bool takeAllowance(const Context &context, const jobs::RunId &run, Away &away)
{
    const jobs::StepId &step = run.m_task.m_step;
    const std::int32_t most = stepOf(context, step).m_maxUnavailable;
    if (most < 0) {
        return true;
    }
    const auto [entry, isNew] = away.try_emplace(step, 0);
    if (isNew) {
        entry->second = countAway(context, step);
    }
    if (entry->second >= most) {
        return false;
    }
    ++entry->second;
    return true;
}

}
