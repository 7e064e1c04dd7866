#include "components/dispatch/stray_runs.hpp"

#include "components/dispatch/context.hpp"
#include "components/dispatch/runs.hpp"
#include "components/workers/stop_order.hpp"

#include <algorithm>

namespace dispatch
{

void recordStrayRun(Context &context, const WorkerState &worker, const jobs::RunId &run)
{
    const journal::JobRecord *job = journal::findJob(context.m_journalState, run.m_task.m_step.m_job);
    if (job == nullptr || run.m_task.m_step.m_step >= job->m_spec.m_steps.size()) {
        return;
    }
    for (auto &[id, strays] : context.m_state.m_strayRuns) {
        std::erase_if(strays, [&, &workerId = id](const auto &entry) {
            return isStrayRunOver(context, workerId, entry.second);
        });
    }
    const workers::WorkerIncarnation &incarnation = worker.m_registration.m_incarnation;
    context.m_state.m_strayRuns[incarnation.m_worker][run]
        = {incarnation, job->m_spec.m_account, job->m_spec.m_steps[run.m_task.m_step.m_step].m_perTask, context.m_now.m_boot, std::nullopt};
}

void forgetStrayRuns(Context &context, const WorkerState &worker)
{
    context.m_state.m_strayRuns.erase(worker.m_registration.m_incarnation.m_worker);
}

void recordStrayStop(Context &context, const workers::StopOrder &order)
{
    const auto worker = context.m_state.m_strayRuns.find(order.m_target.m_worker);
    if (worker == context.m_state.m_strayRuns.end()) {
        return;
    }
    if (const auto stray = worker->second.find(order.m_run); stray != worker->second.end() && stray->second.m_incarnation == order.m_target) {
        stray->second.m_endsBy = stray->second.m_endsBy.value_or(context.m_now.m_boot + context.m_state.m_settings.m_stopGrace);
    }
}

std::set<jobs::TaskId> tasksWithStrayRuns(const Context &context)
{
    std::set<jobs::TaskId> tasks;
    for (const auto &[worker, strays] : context.m_state.m_strayRuns) {
        for (const auto &[run, stray] : strays) {
            if (!isStrayRunOver(context, worker, stray)) {
                tasks.insert(run.m_task);
            }
        }
    }
    return tasks;
}

/// A worker reports a run until it has ended. If it doesn't answer, each lease that it may have had when it was last asked is over after the longest
/// lease; what this holder granted may be less, since a late order extends the lease of a worker that has restarted.
bool isStrayRunOver(const Context &context, const fleet::WorkerId &id, const StrayRun &stray)
{
    const fleet::BootTime now = context.m_now.m_boot;
    if (stray.m_endsBy && now >= *stray.m_endsBy) {
        return true;
    }
    const auto worker = context.m_state.m_workers.find(id);
    const bool isKnown = worker != context.m_state.m_workers.end();
    if (isKnown && worker->second.m_registration.m_incarnation != stray.m_incarnation) {
        return true;
    }
    const bool isLeaseOver = !isKnown || hasLeaseExpired(worker->second, now);
    return isLeaseOver && now - stray.m_seenAt >= context.m_state.m_settings.longestLease();
}

bool hasStrayRuns(const Context &context, const WorkerState &worker)
{
    const auto found = context.m_state.m_strayRuns.find(worker.m_registration.m_incarnation.m_worker);
    return found != context.m_state.m_strayRuns.end() && std::any_of(found->second.begin(), found->second.end(), [&](const auto &entry) {
               return !isStrayRunOver(context, found->first, entry.second);
           });
}

}
