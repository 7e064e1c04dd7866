#include "components/dispatch/progress.hpp"

#include "components/dispatch/context.hpp"
#include "components/dispatch/runs.hpp"

#include <algorithm>

namespace dispatch
{

namespace
{

constexpr int wholePercent = 100;

}

fleet::Duration remainingTime(const Context &context, const jobs::RunId &id, const RunState &run)
{
    const jobs::StepSpec &step = context.m_journalState.m_jobs.at(id.m_task.m_step.m_job).m_spec.m_steps[id.m_task.m_step.m_step];
    const int progressed = run.m_percent - run.m_initialPercent;
    if (progressed <= 0) {
        return std::max(fleet::Duration(0), step.m_estimate - ranFor(run, context.m_now.m_boot));
    }
    const fleet::Duration perPercent = (run.m_percentAt - run.m_startedAt) / progressed;
    const fleet::Duration sinceProgress = context.m_now.m_boot - run.m_percentAt;
    return std::max(fleet::Duration(0), perPercent * (wholePercent - run.m_percent) - sinceProgress);
}

}
