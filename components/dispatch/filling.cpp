#include "components/dispatch/filling.hpp"

#include "components/dispatch/allowances.hpp"
#include "components/dispatch/context.hpp"
#include "components/dispatch/runs.hpp"

#include <set>

namespace dispatch
{

void separateFilling(Context &context)
{
    Away away;
    for (auto &[id, worker] : context.m_state.m_workers) {
        if (worker.m_servingRuns == 0 || worker.m_fillingRuns == 0) {
            continue;
        }
        const std::set<jobs::RunId> runs = worker.m_runs;
        for (const jobs::RunId &run : runs) {
            const RunState &state = context.m_state.m_runs.at(run);
            if (state.m_isFilling && !state.m_stopWanted && takeAllowance(context, run, away)) {
                wantStop(context, run, "serving-beside");
            }
        }
    }
}

}
