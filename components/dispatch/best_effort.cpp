#include "components/dispatch/best_effort.hpp"

#include "components/dispatch/available_workers.hpp"
#include "components/dispatch/candidate.hpp"
#include "components/dispatch/context.hpp"
#include "components/dispatch/disruption_budget.hpp"
#include "components/dispatch/runs.hpp"
#include "components/workers/running_task.hpp"

#include <algorithm>
#include <set>

namespace dispatch
{

namespace
{

/// How long no best-effort run may work beside a serving run that was over its target; doubled for each further time up to the maximum.
constexpr fleet::Duration minDisturbedTime {10'000};
constexpr int maxDisturbedDoublings = 4;

/// True if a worker without serving tasks has room for the best-effort run.
bool hasRoomApart(const Context &context, const jobs::RunId &id, const RunState &run)
{
    const journal::JobRecord &job = context.m_journalState.m_jobs.at(id.m_task.m_step.m_job);
    Candidate candidate;
    candidate.m_step = id.m_task.m_step;
    candidate.m_spec = &stepOf(context, id.m_task.m_step);
    candidate.m_queue = catalog::findQueue(context.m_catalog, job.m_spec.m_queue);
    candidate.m_perTask = run.m_allocated;
    if (candidate.m_queue == nullptr) {
        return false;
    }
    return std::any_of(context.m_state.m_workers.begin(), context.m_state.m_workers.end(), [&](const auto &entry) {
        const WorkerState &worker = entry.second;
        return isInService(context, worker) && worker.m_unansweredCalls == 0 && isSuitable(candidate, worker, context.m_now.m_boot)
            && countSlots(candidate, worker, worker.m_registration.m_capacity - worker.m_allocated) > 0;
    });
}

}

bool isServingDisturbed(const WorkerState &worker, fleet::BootTime now)
{
    return now < worker.m_disturbedUntil;
}

void recordResponseTimes(Context &context, WorkerState &worker, const jobs::RunId &id, const workers::RunningTask &task)
{
    const fleet::Duration objective = stepOf(context, id.m_task.m_step).m_tailLatencyObjective;
    const fleet::BootTime now = context.m_now.m_boot;
    if (objective.count() <= 0 || task.m_usage <= objective.count() || isServingDisturbed(worker, now)) {
        return;
    }
    worker.m_disturbedUntil = now + minDisturbedTime * (1 << std::min(worker.m_disturbances, maxDisturbedDoublings));
    ++worker.m_disturbances;
    context.m_out.m_log.push_back(logging::Line("dispatch", "serving-disturbed")
                                      .add("task", toString(id.m_task))
                                      .add("worker", worker.m_registration.m_incarnation.m_worker.value())
                                      .add("tail_ms", task.m_usage)
                                      .add("objective_ms", objective)
                                      .add("best_effort_runs", worker.m_bestEffortRuns));
}

void stopBestEffortBesideServing(Context &context)
{
    UnavailableTasks unavailable;
    for (auto &[id, worker] : context.m_state.m_workers) {
        if (worker.m_servingRuns == 0 || worker.m_bestEffortRuns == 0) {
            continue;
        }
        const std::set<jobs::RunId> runs = worker.m_runs;
        for (const jobs::RunId &run : runs) {
            RunState &state = context.m_state.m_runs.at(run);
            if (!state.m_isBestEffort || state.m_isStopRequested) {
                continue;
            }
            state.m_staysBesideServing = state.m_staysBesideServing || !hasRoomApart(context, run, state);
            if ((isServingDisturbed(worker, context.m_now.m_boot) || !state.m_staysBesideServing) && useDisruptionBudget(context, run, unavailable)) {
                requestStop(context, run, "serving-beside");
            }
        }
    }
}

}
