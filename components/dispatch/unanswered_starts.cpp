#include "components/dispatch/unanswered_starts.hpp"

#include "components/dispatch/context.hpp"
#include "components/dispatch/run_log.hpp"
#include "components/dispatch/runs.hpp"
#include "components/dispatch/stray_runs.hpp"
#include "components/workers/order_result.hpp"
#include "components/workers/start_order.hpp"
#include "components/workers/stop_order.hpp"

#include <algorithm>
#include <numeric>

namespace dispatch
{

namespace
{

/// How long an order without an answer may still be carried out. The protocol says seconds; the runs' leases end much earlier.
constexpr fleet::Duration longestDelay {30'000};
constexpr fleet::Duration stopRetryDelay {500};

bool isOpenOn(const Context &context, const jobs::RunId &id, const fleet::WorkerId &worker)
{
    const auto run = context.m_state.m_runs.find(id);
    return run != context.m_state.m_runs.end() && run->second.m_incarnation.m_worker == worker;
}

bool isStopDue(const Context &context, const WorkerState &worker, const jobs::RunId &run, const UnansweredStart &start)
{
    const workers::WorkerIncarnation &incarnation = worker.m_registration.m_incarnation;
    const bool hasRestarted = incarnation.m_startedAtMs > start.m_target.m_startedAtMs;
    return hasRestarted && start.m_stoppedOn != incarnation && context.m_now.m_boot >= start.m_nextStopAt && !isOpenOn(context, run, incarnation.m_worker);
}

}

void recordUnansweredStart(Context &context, const workers::StartOrder &order)
{
    UnansweredStart &start = context.m_state.m_unansweredStarts[order.m_target.m_worker][order.m_run];
    if (start.m_target != order.m_target) {
        start = UnansweredStart();
        start.m_target = order.m_target;
    }
    start.m_unansweredAt = context.m_now.m_boot;
    const RunState *open = findRun(context, order.m_run);
    start.m_sentAt = open == nullptr ? context.m_now.m_boot : open->m_startSentAt;
    start.m_leaseUntilMs = std::max(start.m_leaseUntilMs, order.m_leaseUntilMs);
    const jobs::StepId &step = order.m_run.m_task.m_step;
    if (const journal::JobRecord *job = journal::findJob(context.m_journalState, step.m_job)) {
        start.m_account = job->m_spec.m_account;
        start.m_requested = job->m_spec.m_steps[step.m_step].m_perTask;
    }
    logUnansweredStart(context, order, start);
}

void recordStopAnswer(Context &context, const workers::StopOrder &order, const workers::OrderResult &result)
{
    const bool isStopped = result.m_outcome == workers::OrderOutcome::Done || result.m_outcome == workers::OrderOutcome::RunIsOver;
    if (isStopped) {
        recordStrayStop(context, order);
    }
    const auto worker = context.m_state.m_unansweredStarts.find(order.m_target.m_worker);
    if (!isStopped || worker == context.m_state.m_unansweredStarts.end()) {
        return;
    }
    if (const auto start = worker->second.find(order.m_run); start != worker->second.end()) {
        if (start->second.m_stoppedOn != order.m_target && start->second.m_target != order.m_target) {
            logStopOfLateStart(context, order, start->second, "confirmed");
        }
        start->second.m_stoppedOn = order.m_target;
        start->second.m_stoppedAt = context.m_now.m_boot;
    }
}

bool mayStillBeCarriedOut(const Context &context, const fleet::WorkerId &id, const jobs::RunId &run, const UnansweredStart &start)
{
    if (isOpenOn(context, run, id) || context.m_now.m_boot - start.m_unansweredAt >= longestDelay) {
        return false;
    }
    const auto worker = context.m_state.m_workers.find(id);
    if (worker == context.m_state.m_workers.end()) {
        return true;
    }
    const workers::WorkerIncarnation &incarnation = worker->second.m_registration.m_incarnation;
    const auto clock = minWorkerClock(worker->second, context.m_now.m_boot);
    const bool hasLeaseEnded = incarnation == start.m_target && clock && *clock >= start.m_leaseUntilMs;
    const bool hasStopped = start.m_stoppedOn == incarnation && context.m_now.m_boot - start.m_stoppedAt >= context.m_state.m_settings.m_stopGrace;
    return !hasLeaseEnded && !hasStopped;
}

bool hasUnansweredStarts(const Context &context, const WorkerState &worker)
{
    return context.m_state.m_unansweredStarts.contains(worker.m_registration.m_incarnation.m_worker);
}

void sendStopsOfUnansweredStarts(Context &context)
{
    for (auto &[id, starts] : context.m_state.m_unansweredStarts) {
        std::erase_if(starts, [&](const auto &entry) {
            return context.m_now.m_boot - entry.second.m_unansweredAt >= longestDelay;
        });
        const auto found = context.m_state.m_workers.find(id);
        if (found == context.m_state.m_workers.end() || found->second.m_registration.m_address.empty()) {
            continue;
        }
        const WorkerState &worker = found->second;
        for (auto &[run, start] : starts) {
            if (isStopDue(context, worker, run, start)) {
                start.m_nextStopAt = context.m_now.m_boot + stopRetryDelay;
                context.m_out.m_stops.push_back({worker.m_registration.m_incarnation, worker.m_registration.m_address, run, context.m_state.m_token});
                if (start.m_stopSentTo != worker.m_registration.m_incarnation) {
                    start.m_stopSentTo = worker.m_registration.m_incarnation;
                    logStopOfLateStart(context, context.m_out.m_stops.back(), start, "sent");
                }
            }
        }
    }
    std::erase_if(context.m_state.m_unansweredStarts, [](const auto &entry) {
        return entry.second.empty();
    });
}

std::size_t countUnansweredStarts(const State &state)
{
    return std::accumulate(state.m_unansweredStarts.begin(), state.m_unansweredStarts.end(), std::size_t {0}, [](std::size_t sum, const auto &entry) {
        return sum + entry.second.size();
    });
}

}
