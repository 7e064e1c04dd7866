#include "components/dispatch/orders.hpp"

#include "components/dispatch/context.hpp"
#include "components/dispatch/runs.hpp"

#include <algorithm>

namespace dispatch
{

namespace
{

/// Pause before an order without an answer is sent again; doubled for each silence up to the longest.
constexpr fleet::Duration shortestRetry {100};
constexpr fleet::Duration longestRetry {1000};
/// Workers that the platform's list lost while the store was away are back in it within two seconds.
constexpr fleet::Duration relistTime {2500};
/// A worker that left this many calls in a row without an answer is taken as lost once its lease has lapsed.
constexpr int silencesToGiveUp = 3;

fleet::Duration retryPause(int tries)
{
    constexpr int mostDoublings = 4;
    return std::min(longestRetry, shortestRetry * (1 << std::min(tries, mostDoublings)));
}

void sendStart(Context &context, const jobs::RunId &id, RunState &run, WorkerState &worker)
{
    const auto lease = leaseEnd(context, worker, context.m_state.m_settings.m_startLease);
    if (!lease) {
        return;
    }
    const journal::JobRecord &job = context.m_ledger.m_jobs.at(id.m_task.m_step.m_job);
    worker.m_promisedUntilMs = std::max(worker.m_promisedUntilMs, *lease);
    run.m_startInFlight = true;
    ++run.m_startTries;
    run.m_nextStartAt = context.m_now.m_boot + retryPause(run.m_startTries);
    context.m_out.m_starts.push_back(
        {run.m_on, worker.m_registration.m_address, id, job.m_spec.m_payload, *lease, context.m_state.m_token, run.m_checkpoint, run.m_ticket});
}

void sendStop(Context &context, const jobs::RunId &id, RunState &run, const WorkerState &worker)
{
    run.m_stopInFlight = true;
    ++run.m_stopTries;
    run.m_nextStopAt = context.m_now.m_boot + retryPause(run.m_stopTries);
    context.m_out.m_stops.push_back({run.m_on, worker.m_registration.m_address, id, context.m_state.m_token});
}

bool isStartDue(const Context &context, const RunState &run)
{
    return context.m_state.m_mayRenew && !run.m_isLifeUnsure && run.m_phase == RunPhase::Starting && !run.m_stopWanted && !run.m_startInFlight
        && !run.m_isOverThere && context.m_now.m_boot >= run.m_nextStartAt;
}

bool isStopDue(const Context &context, const RunState &run)
{
    return run.m_phase != RunPhase::Recording && run.m_stopWanted && !run.m_stopInFlight && !run.m_stopAnswered && context.m_now.m_boot >= run.m_nextStopAt;
}

bool isLookDue(const Context &context, const WorkerState &worker)
{
    if (worker.m_lookInFlight || context.m_now.m_boot < worker.m_nextLookAt || worker.m_registration.m_address.empty()) {
        return false;
    }
    const bool hasEndsToForget = worker.m_endsStored > worker.m_endsForgotten;
    // A worker that did not answer gets new runs again once it answers a look.
    const bool isSilent = worker.m_silences > 0 && worker.m_isListed;
    if (hasEndsToForget || isSilent || worker.m_isProbeDue) {
        return true;
    }
    return std::any_of(worker.m_runs.begin(), worker.m_runs.end(), [&](const jobs::RunId &run) {
        const RunState &state = context.m_state.m_runs.at(run);
        return state.m_phase == RunPhase::Running || state.m_isOverThere || state.m_isUncertain || state.m_stopAnswered || state.m_isLifeUnsure;
    });
}

void sendLook(Context &context, WorkerState &worker)
{
    const bool hasUnstoredEnds = worker.m_endsTaken > worker.m_endsStored;
    // A run that is over without an end to wait for shows in the first look after that.
    const bool isOverSomewhere = std::any_of(worker.m_runs.begin(), worker.m_runs.end(), [&](const jobs::RunId &run) {
        const RunState &state = context.m_state.m_runs.at(run);
        return (state.m_isOverThere || state.m_stopAnswered) && state.m_overSince >= worker.m_lookSentAt;
    });
    workers::PollOrder order;
    order.m_target = worker.m_registration.m_incarnation;
    order.m_address = worker.m_registration.m_address;
    order.m_token = context.m_state.m_token;
    order.m_acknowledgedUpTo = worker.m_endsStored;
    if (!worker.m_runs.empty()) {
        order.m_leaseUntilMs = leaseEnd(context, worker, context.m_state.m_settings.m_leaseLimit);
        // An end that is listed and may not be forgotten yet would end the wait at once.
        const bool waits = !hasUnstoredEnds && worker.m_isFenced && !isOverSomewhere;
        order.m_wait = waits ? context.m_state.m_settings.m_lookWait : fleet::Duration(0);
    }
    if (order.m_leaseUntilMs) {
        worker.m_promisedUntilMs = std::max(worker.m_promisedUntilMs, *order.m_leaseUntilMs);
    }
    worker.m_isProbeDue = false;
    worker.m_lookInFlight = true;
    worker.m_lookSentAt = context.m_now.m_boot;
    worker.m_nextLookAt = context.m_now.m_boot;
    context.m_out.m_looks.push_back(std::move(order));
}

}

std::optional<std::int64_t> leaseEnd(const Context &context, const WorkerState &worker, fleet::Duration length)
{
    if (!worker.m_clockMs) {
        return std::nullopt;
    }
    if (!context.m_state.m_mayRenew || (worker.m_silences > 0 && worker.m_promisedUntilMs > 0)) {
        // Without the store another instance may hold the duty. An order without an answer may have been carried out; extending
        // the lease with each try would put off for ever the time when the runs can be given up.
        return worker.m_promisedUntilMs > 0 ? std::optional(worker.m_promisedUntilMs) : std::nullopt;
    }
    return *worker.m_clockMs + (context.m_now.m_boot - worker.m_clockAt).count() + length.count();
}

void sendDueOrders(Context &context)
{
    std::set<jobs::RunId> &unsettled = context.m_state.m_unsettled;
    for (auto entry = unsettled.begin(); entry != unsettled.end();) {
        const jobs::RunId &id = *entry;
        RunState &run = context.m_state.m_runs.at(id);
        if (run.m_phase == RunPhase::Running && !run.m_stopWanted) {
            entry = unsettled.erase(entry);
            continue;
        }
        ++entry;
        WorkerState *worker = findWorker(context, run.m_on);
        if (worker == nullptr || worker->m_registration.m_address.empty()) {
            continue;
        }
        if (isStartDue(context, run)) {
            sendStart(context, id, run, *worker);
        } else if (isStopDue(context, run)) {
            sendStop(context, id, run, *worker);
        }
    }
}

void sendDueLooks(Context &context)
{
    for (auto &[id, worker] : context.m_state.m_workers) {
        if (isLookDue(context, worker)) {
            sendLook(context, worker);
        }
    }
}

namespace
{

/// A worker that this holder has not heard yet may list ends that nobody stored. It is asked first, unless it is gone or does
/// not answer.
bool wasAsked(const Context &context, const WorkerState &worker)
{
    const std::optional<fleet::BootTime> &listRead = context.m_state.m_firstListAt;
    const bool isGone = !worker.m_isListed && listRead && context.m_now.m_boot - *listRead >= relistTime;
    return worker.m_isFenced || isGone || worker.m_silences >= silencesToGiveUp;
}

}

void endLapsedRuns(Context &context)
{
    std::vector<jobs::RunId> lapsed;
    for (const auto &[id, worker] : context.m_state.m_workers) {
        if (!worker.m_runs.empty() && wasAsked(context, worker) && hasLeaseLapsed(worker, context.m_now.m_boot)) {
            std::copy_if(worker.m_runs.begin(), worker.m_runs.end(), std::back_inserter(lapsed), [&](const jobs::RunId &run) {
                return context.m_state.m_runs.at(run).m_phase != RunPhase::Recording && context.m_state.m_runs.at(run).m_startTries > 0;
            });
        }
    }
    for (const jobs::RunId &run : lapsed) {
        endRun(context, run, jobs::RunEnd::LeaseExpired, {});
    }
}

}
