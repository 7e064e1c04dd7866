#include "components/dispatch/departures.hpp"

#include "components/dispatch/context.hpp"
#include "components/dispatch/progress.hpp"
#include "components/dispatch/runs.hpp"

#include <algorithm>
#include <set>

namespace dispatch
{

namespace
{

/// Time for the order to stop and the worker's answer, beyond the time that the stop itself takes.
constexpr fleet::Duration orderTime {300};

/// Returns how long ago the worker wrote its registration, by its own clock.
fleet::Duration ageOf(const WorkerState &worker, const workers::Registration &registration, fleet::BootTime now)
{
    const std::optional<std::int64_t> clock = estimatedWorkerClock(worker, now);
    if (!registration.m_clockMs || !clock) {
        return fleet::Duration(0);
    }
    return std::max(fleet::Duration(0), fleet::Duration(*clock - *registration.m_clockMs));
}

/// True if the run will be lost whatever it still does: it is known to need more time, and keeps nothing of its work.
bool isFutile(const Context &context, const jobs::RunId &id, const RunState &run, fleet::Duration left)
{
    const jobs::StepSpec &step = stepOf(context, id.m_task.m_step);
    const bool isProgressKnown = run.m_percent > run.m_initialPercent;
    return isProgressKnown && !step.m_writesCheckpoints && !step.m_isLongRunning && remainingTime(context, id, run) > left;
}

}

void updateDeparture(Context &context, WorkerState &worker, const workers::Registration &registration)
{
    if (!registration.m_isDraining || !registration.m_timeToShutdown) {
        worker.m_shutdownAt.reset();
        return;
    }
    if (worker.m_shutdownAt && registration == worker.m_registration) {
        return;
    }
    const fleet::BootTime now = context.m_now.m_boot;
    const fleet::Duration age = ageOf(worker, registration, now);
    worker.m_shutdownAt = now + *registration.m_timeToShutdown - age;
    context.m_out.m_log.push_back(logging::Line("dispatch", "worker-departs")
                                      .add("worker", registration.m_incarnation.m_worker.value())
                                      .add("remaining_ms", *registration.m_timeToShutdown)
                                      .add("age_ms", age)
                                      .add("runs", worker.m_runs.size()));
}

void stopRunsOnDepartingWorkers(Context &context)
{
    for (auto &[id, worker] : context.m_state.m_workers) {
        if (!worker.m_shutdownAt || worker.m_runs.empty()) {
            continue;
        }
        const fleet::Duration left = *worker.m_shutdownAt - context.m_now.m_boot - context.m_state.m_settings.m_stopGrace - orderTime;
        const std::set<jobs::RunId> runs = worker.m_runs;
        for (const jobs::RunId &run : runs) {
            const RunState &state = context.m_state.m_runs.at(run);
            if (!state.m_isStopRequested && (left <= fleet::Duration(0) || isFutile(context, run, state, left))) {
                requestStop(context, run, "worker-departs");
            }
        }
    }
}

}
