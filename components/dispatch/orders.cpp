#include "components/dispatch/orders.hpp"

#include "components/dispatch/context.hpp"
#include "components/dispatch/runs.hpp"
#include "components/dispatch/stray_runs.hpp"
#include "components/dispatch/unanswered_starts.hpp"

#include <algorithm>
#include <cstddef>
#include <iterator>

namespace dispatch
{

namespace
{

/// Delay before an order without an answer is sent again; doubled for each try up to the maximum.
constexpr fleet::Duration minRetryDelay {100};
constexpr fleet::Duration maxRetryDelay {1000};
/// Time after the first read of the worker list until a missing worker counts as gone. Workers that the list dropped while the
/// store was unreachable are listed again within two seconds.
constexpr fleet::Duration relistTime {2500};
/// How long a worker is polled for the ends of runs that were given up, although it is not listed. Once it is listed again it is polled in
/// any case.
constexpr fleet::Duration unreportedEndsTime {60'000};
/// Runs that one cycle examines for due orders to one worker; the next cycle goes on after them.
constexpr int maxExaminedRuns = 256;
/// Start and stop orders that may be under way to one worker for runs of the lowest priority, and further ones for each higher priority. The others
/// wait here instead of in the queue of the HTTP client, where urgent ones could not go past them.
constexpr int maxOrdersInFlight = 64;
constexpr int ordersForHigherPriority = 32;
constexpr int lowestPriority = 3;
/// A worker with this many consecutive unanswered calls counts as lost once its lease has expired.
constexpr int unansweredCallsToGiveUp = 3;

fleet::Duration retryDelay(int tries)
{
    constexpr int maxDoublings = 4;
    return std::min(maxRetryDelay, minRetryDelay * (1 << std::min(tries, maxDoublings)));
}

void sendStart(Context &context, const jobs::RunId &id, RunState &run, WorkerState &worker)
{
    const auto lease = leaseEnd(context, worker, context.m_state.m_settings.startLease());
    if (!lease) {
        return;
    }
    const journal::JobRecord &job = context.m_journalState.m_jobs.at(id.m_task.m_step.m_job);
    worker.m_grantedLeaseEndMs = std::max(worker.m_grantedLeaseEndMs, *lease);
    worker.m_startLeaseUntil = context.m_now.m_boot + context.m_state.m_settings.longestLease();
    run.m_startInFlight = true;
    ++worker.m_ordersInFlight;
    run.m_startSentAt = context.m_now.m_boot;
    ++run.m_startTries;
    run.m_nextStartAt = context.m_now.m_boot + retryDelay(run.m_startTries);
    context.m_out.m_starts.push_back(
        {run.m_incarnation, worker.m_registration.m_address, id, job.m_spec.m_payload, *lease, context.m_state.m_token, run.m_checkpoint, run.m_ticket});
}

void sendStop(Context &context, const jobs::RunId &id, RunState &run, WorkerState &worker)
{
    run.m_stopInFlight = true;
    ++worker.m_ordersInFlight;
    ++run.m_stopTries;
    run.m_nextStopAt = context.m_now.m_boot + retryDelay(run.m_stopTries);
    context.m_out.m_stops.push_back({run.m_incarnation, worker.m_registration.m_address, id, context.m_state.m_token});
}

bool isStartDue(const Context &context, const RunState &run, const WorkerState &worker)
{
    return context.m_state.m_mayRenewLeases && context.m_state.m_isConfigCurrent && !worker.m_isIncarnationInDoubt && !run.m_isUnconfirmedAfterRestart
        && run.m_phase == RunPhase::Starting && !run.m_isStopRequested && !run.m_startInFlight && !run.m_isOverOnWorker
        && context.m_now.m_boot >= run.m_nextStartAt;
}

/// A holder that has not been confirmed for too long may have been replaced. It stops nothing, since its successor may keep the run.
bool isStopDue(const Context &context, const RunState &run)
{
    return context.m_state.m_mayRenewLeases && run.m_phase != RunPhase::Recording && run.m_isStopRequested && !run.m_stopInFlight && !run.m_stopAnswered
        && context.m_now.m_boot >= run.m_nextStopAt;
}

bool hasFreeOrder(const WorkerState &worker, const RunState &run)
{
    return worker.m_ordersInFlight < maxOrdersInFlight + ordersForHigherPriority * (lowestPriority - std::clamp(run.m_priority, 0, lowestPriority));
}

/// A run that was taken over may be that of an earlier incarnation until the worker has been listed or polled.
bool isOrderDue(const Context &context, const RunState &run, const WorkerState &worker)
{
    return run.m_incarnation == worker.m_registration.m_incarnation && (isStartDue(context, run, worker) || isStopDue(context, run));
}

void sendOrder(Context &context, const jobs::RunId &id, RunState &run, WorkerState &worker)
{
    if (isStartDue(context, run, worker)) {
        sendStart(context, id, run, worker);
    } else {
        sendStop(context, id, run, worker);
    }
}

/// Sends the orders that are due for runs of one priority; the jobs take turns. Returns false if one has to wait.
bool sendDueOrdersOf(Context &context, WorkerState &worker, OrderQueue &queue)
{
    int examined = 0;
    std::size_t jobsWithoutOrder = 0;
    auto job = queue.m_runs.lower_bound(queue.m_nextJob);
    while (jobsWithoutOrder < queue.m_runs.size() && examined < maxExaminedRuns) {
        job = job == queue.m_runs.end() ? queue.m_runs.begin() : job;
        std::set<jobs::RunId> &runs = job->second;
        const auto due = std::find_if(runs.begin(), runs.end(), [&](const jobs::RunId &id) {
            return ++examined > maxExaminedRuns || isOrderDue(context, context.m_state.m_runs.at(id), worker);
        });
        const bool isAnyDue = due != runs.end() && examined <= maxExaminedRuns;
        queue.m_nextJob = job->first;
        if (isAnyDue) {
            const jobs::RunId id = *due;
            RunState &run = context.m_state.m_runs.at(id);
            if (!hasFreeOrder(worker, run)) {
                context.m_out.m_work.m_examinedRuns += static_cast<std::uint64_t>(examined);
                return false;
            }
            runs.erase(due);
            sendOrder(context, id, run, worker);
        }
        jobsWithoutOrder = isAnyDue ? 0 : jobsWithoutOrder + 1;
        job = runs.empty() ? queue.m_runs.erase(job) : std::next(job);
        queue.m_nextJob = job == queue.m_runs.end() ? jobs::JobId() : job->first;
    }
    context.m_out.m_work.m_examinedRuns += static_cast<std::uint64_t>(examined);
    return true;
}

bool isPollDue(const Context &context, const WorkerState &worker)
{
    if (context.m_now.m_boot < std::max(worker.m_nextPollAt, worker.m_pollNotBefore) || worker.m_registration.m_address.empty()) {
        return false;
    }
    if (worker.m_pollInFlight) {
        // Starts would wait for the end of its wait.
        return worker.m_isIncarnationInDoubt && worker.m_doesPollWait && !worker.m_probeInFlight && !worker.m_runs.empty();
    }
    const bool hasEndsToAcknowledge = worker.m_endsStored > worker.m_endsAcknowledged;
    // A worker that did not answer is polled, since it gets new runs only after it has answered.
    const bool isUnresponsive = worker.m_unansweredCalls > 0 && worker.m_isListed;
    // No start can be sent before the worker's clock and its incarnation are known, which an answer shows.
    const bool isStartHeldBack = (!worker.m_clockMs || worker.m_isIncarnationInDoubt) && !worker.m_runs.empty();
    if (hasEndsToAcknowledge || isUnresponsive || worker.m_isProbeDue || isStartHeldBack || mayReportEnds(worker, context.m_now.m_boot)
        || hasStrayRuns(context, worker) || hasUnansweredStarts(context, worker)) {
        return true;
    }
    return std::any_of(worker.m_runs.begin(), worker.m_runs.end(), [&](const jobs::RunId &run) {
        const RunState &state = context.m_state.m_runs.at(run);
        return state.m_phase == RunPhase::Running || state.m_isOverOnWorker || state.m_isStartUncertain || state.m_stopAnswered
            || state.m_isUnconfirmedAfterRestart;
    });
}

void sendPoll(Context &context, WorkerState &worker)
{
    const bool hasUnstoredEnds = worker.m_endsReceived > worker.m_endsStored;
    // The next poll shows that such a run is over even if no end is reported for it, so that poll should return at once.
    const bool hasRunOverSincePoll = std::any_of(worker.m_runs.begin(), worker.m_runs.end(), [&](const jobs::RunId &run) {
        const RunState &state = context.m_state.m_runs.at(run);
        return (state.m_isOverOnWorker || state.m_stopAnswered) && state.m_overSince >= worker.m_pollSentAt;
    });
    workers::PollOrder order;
    order.m_target = worker.m_registration.m_incarnation;
    order.m_address = worker.m_registration.m_address;
    order.m_token = context.m_state.m_token;
    // A worker numbers its ends anew after a restart, and would take an acknowledgement that is repeated for one of its new ends.
    const bool mayAcknowledge = worker.m_endsStored > worker.m_endsAcknowledged && !worker.m_isIncarnationInDoubt;
    order.m_acknowledgedUpTo = mayAcknowledge ? worker.m_endsStored : 0;
    if ((!worker.m_runs.empty() || hasUnansweredStarts(context, worker)) && !worker.m_isIncarnationInDoubt) {
        if (!worker.m_runs.empty()) {
            order.m_leaseUntilMs = leaseEnd(context, worker, context.m_state.m_settings.m_leaseLimit);
        }
        // An end that is listed but may not be forgotten yet would end the wait at once. A worker that does not answer is polled without a
        // wait, so that the call times out sooner and the next one shows that the worker can be reached again.
        const bool mayWait
            = !hasUnstoredEnds && worker.m_hasAcceptedToken && !hasRunOverSincePoll && worker.m_unansweredCalls == 0 && !hasStrayRuns(context, worker);
        order.m_wait = mayWait ? context.m_state.m_settings.pollWait() : fleet::Duration(0);
    }
    if (order.m_leaseUntilMs) {
        worker.m_grantedLeaseEndMs = std::max(worker.m_grantedLeaseEndMs, *order.m_leaseUntilMs);
    }
    worker.m_isProbeDue = false;
    if (worker.m_pollInFlight) {
        order.m_isProbe = true;
        worker.m_probeInFlight = true;
    } else {
        worker.m_pollInFlight = true;
        worker.m_doesPollWait = order.m_wait.count() > 0;
        worker.m_pollSentAt = context.m_now.m_boot;
    }
    worker.m_nextPollAt = context.m_now.m_boot;
    context.m_out.m_polls.push_back(std::move(order));
}

}

bool mayReportEnds(const WorkerState &worker, fleet::BootTime now)
{
    return worker.m_gaveUpRunsAt && now - *worker.m_gaveUpRunsAt < unreportedEndsTime;
}

std::optional<std::int64_t> leaseEnd(const Context &context, const WorkerState &worker, fleet::Duration length)
{
    const std::optional<std::int64_t> clock = estimatedWorkerClock(worker, context.m_now.m_boot);
    if (!clock) {
        return std::nullopt;
    }
    if (!context.m_state.m_mayRenewLeases || (worker.m_unansweredCalls > 0 && worker.m_grantedLeaseEndMs > 0)) {
        // While the store is unreachable another instance may hold the duty. An order without an answer may have been carried out;
        // extending the lease with each try would postpone the time at which the runs can be given up indefinitely.
        return worker.m_grantedLeaseEndMs > 0 ? std::optional(worker.m_grantedLeaseEndMs) : std::nullopt;
    }
    return *clock + length.count();
}

void queueOrder(WorkerState &worker, const jobs::RunId &id, const RunState &run)
{
    const bool needsStart = run.m_phase != RunPhase::Running && !run.m_isOverOnWorker && !run.m_isStopRequested;
    const bool needsStop = run.m_isStopRequested && !run.m_stopAnswered;
    if ((needsStart && !run.m_startInFlight) || (needsStop && !run.m_stopInFlight)) {
        worker.m_orderQueues[run.m_priority].m_runs[id.m_task.m_step.m_job].insert(id);
    }
}

void endOrder(WorkerState &worker, bool &isInFlight)
{
    worker.m_ordersInFlight -= isInFlight ? 1 : 0;
    isInFlight = false;
}

void removeOrders(WorkerState &worker, const jobs::RunId &id, const RunState &run)
{
    worker.m_ordersInFlight -= (run.m_startInFlight ? 1 : 0) + (run.m_stopInFlight ? 1 : 0);
    const auto queue = worker.m_orderQueues.find(run.m_priority);
    if (queue == worker.m_orderQueues.end()) {
        return;
    }
    const auto job = queue->second.m_runs.find(id.m_task.m_step.m_job);
    if (job != queue->second.m_runs.end() && job->second.erase(id) > 0 && job->second.empty()) {
        queue->second.m_runs.erase(job);
    }
}

void sendDueOrders(Context &context)
{
    for (auto &[id, worker] : context.m_state.m_workers) {
        if (worker.m_registration.m_address.empty()) {
            continue;
        }
        for (auto &[priority, queue] : worker.m_orderQueues) {
            if (!sendDueOrdersOf(context, worker, queue)) {
                // Runs of lower priority have fewer orders.
                break;
            }
        }
    }
}

void sendDuePolls(Context &context)
{
    for (auto &[id, worker] : context.m_state.m_workers) {
        if (isPollDue(context, worker)) {
            sendPoll(context, worker);
        }
    }
}

namespace
{

/// A worker that has not answered this holder yet may report ends that were never stored. Its runs are not given up before it
/// was polled, unless it is gone or does not answer.
bool canGiveUpRuns(const Context &context, const WorkerState &worker)
{
    const std::optional<fleet::BootTime> &listRead = context.m_state.m_firstListAt;
    const bool isGone = !worker.m_isListed && listRead && context.m_now.m_boot - *listRead >= relistTime;
    return worker.m_hasAcceptedToken || isGone || worker.m_unansweredCalls >= unansweredCallsToGiveUp;
}

/// Ends the runs for which no start was sent because the worker does not answer, so that its clock or its incarnation is not known.
void endRunsWithoutStart(Context &context)
{
    std::vector<jobs::RunId> unsent;
    for (const auto &[id, worker] : context.m_state.m_workers) {
        if (worker.m_unansweredCalls < unansweredCallsToGiveUp) {
            continue;
        }
        std::copy_if(worker.m_runs.begin(), worker.m_runs.end(), std::back_inserter(unsent), [&](const jobs::RunId &run) {
            return context.m_state.m_runs.at(run).m_phase == RunPhase::Starting && context.m_state.m_runs.at(run).m_startTries == 0;
        });
    }
    for (const jobs::RunId &run : unsent) {
        endRun(context, run, jobs::RunEnd::NeverBegan, {}, RunEndProof::SilentBeforeStart);
    }
}

}

void endExpiredRuns(Context &context)
{
    endRunsWithoutStart(context);
    std::vector<jobs::RunId> expired;
    for (const auto &[id, worker] : context.m_state.m_workers) {
        if (!worker.m_runs.empty() && canGiveUpRuns(context, worker) && hasLeaseExpired(worker, context.m_now.m_boot)) {
            std::copy_if(worker.m_runs.begin(), worker.m_runs.end(), std::back_inserter(expired), [&](const jobs::RunId &run) {
                return context.m_state.m_runs.at(run).m_phase != RunPhase::Recording && context.m_state.m_runs.at(run).m_startTries > 0;
            });
        }
    }
    for (const jobs::RunId &run : expired) {
        context.m_state.m_workers.at(context.m_state.m_runs.at(run).m_incarnation.m_worker).m_gaveUpRunsAt = context.m_now.m_boot;
        endRun(context, run, jobs::RunEnd::LeaseExpired, {}, RunEndProof::LeaseOver);
    }
}

}
