#include "components/dispatch/best_effort.hpp"

#include "components/dispatch/context.hpp"
#include "components/dispatch/disruption_budget.hpp"
#include "components/dispatch/runs.hpp"

#include <set>

namespace dispatch
{

void stopBestEffortBesideServing(Context &context)
{
    UnavailableTasks unavailable;
    for (auto &[id, worker] : context.m_state.m_workers) {
        if (worker.m_servingRuns == 0 || worker.m_bestEffortRuns == 0) {
            continue;
        }
        const std::set<jobs::RunId> runs = worker.m_runs;
        for (const jobs::RunId &run : runs) {
            const RunState &state = context.m_state.m_runs.at(run);
            if (state.m_isBestEffort && !state.m_isStopRequested && useDisruptionBudget(context, run, unavailable)) {
                requestStop(context, run, "serving-beside");
            }
        }
    }
}

}
