#include "components/dispatch/reports.hpp"

#include "components/dispatch/advice.hpp"
#include "components/dispatch/best_effort.hpp"
#include "components/dispatch/context.hpp"
#include "components/dispatch/departures.hpp"
#include "components/dispatch/orders.hpp"
#include "components/dispatch/run_log.hpp"
#include "components/dispatch/run_time_samples.hpp"
#include "components/dispatch/runs.hpp"
#include "components/dispatch/stray_runs.hpp"
#include "components/dispatch/unanswered_starts.hpp"

#include <algorithm>

namespace dispatch
{

namespace
{

/// Delay after a poll without an answer.
constexpr fleet::Duration pollRetryDelay {200};
/// Poll interval while reported ends are not stored yet, which is only needed to renew the lease. The worker is polled again as
/// soon as the ends are stored.
constexpr fleet::Duration unstoredPollInterval {1000};
/// Poll interval while a worker lists runs that are not open.
constexpr fleet::Duration strayRunPollInterval {200};
/// A worker is polled at most so often that its answers list this many runs each millisecond. Every answer lists all its runs, and each run
/// that ends causes one.
constexpr std::size_t listedRunsPerMillisecond = 20;
constexpr fleet::Duration maxPollPause {200};
/// Delay before an idle worker that did not answer is polled again.
constexpr fleet::Duration probeInterval {1000};
/// How long a worker gets no new runs after it refused a start for lack of capacity.
constexpr fleet::Duration noCapacityPause {300};
/// How long a worker gets no new runs after it did not answer or refused a start for another reason.
constexpr fleet::Duration unavailablePause {1500};

void avoid(WorkerState &worker, fleet::BootTime until)
{
    worker.m_avoidUntil = std::max(worker.m_avoidUntil, until);
}

void recordAnswer(Context &context, WorkerState &worker, std::optional<std::int64_t> clockMs)
{
    const fleet::BootTime now = context.m_now.m_boot;
    worker.m_lastAnswerAt = now;
    context.m_state.m_zoneAnsweredAt[worker.m_registration.m_zone] = now;
    if (worker.m_unansweredCalls > 0) {
        context.m_out.m_log.push_back(logging::Line("dispatch", "worker-regained")
                                          .add("worker", worker.m_registration.m_incarnation.m_worker.value())
                                          .add("silent_ms", now - worker.m_silentSince)
                                          .add("unanswered", worker.m_unansweredCalls)
                                          .add("listed", worker.m_isListed)
                                          .add("runs", worker.m_runs.size()));
    }
    worker.m_unansweredCalls = 0;
    if (clockMs) {
        recordClock(worker, *clockMs, now);
    }
}

void recordNoAnswer(Context &context, WorkerState &worker)
{
    const fleet::BootTime now = context.m_now.m_boot;
    if (worker.m_unansweredCalls == 0) {
        worker.m_silentSince = now;
        context.m_out.m_log.push_back(logging::Line("dispatch", "worker-silent", logging::Level::Warning)
                                          .add("worker", worker.m_registration.m_incarnation.m_worker.value())
                                          .add("answered_ms", now - worker.m_lastAnswerAt)
                                          .add("listed", worker.m_isListed)
                                          .add("runs", worker.m_runs.size()));
    }
    ++worker.m_unansweredCalls;
    worker.m_isIncarnationInDoubt = true;
    avoid(worker, now + unavailablePause);
}

/// True if it matters when the worker can be reached again: it has runs, ends to report, or may still carry out a start.
bool isWatched(const Context &context, const WorkerState &worker)
{
    return !worker.m_runs.empty() || mayReportEnds(worker, context.m_now.m_boot) || hasUnansweredStarts(context, worker);
}

/// Handles the answer of a start order whose reading of the clock is too low for the known incarnation: the worker has restarted. The answer
/// does not name the new incarnation, whose lease ends by its own clock.
void detectRestart(Context &context, WorkerState &worker, std::optional<std::int64_t> clockMs, fleet::BootTime sentAt)
{
    const auto least = sentAt < worker.m_clockAt ? std::nullopt : minWorkerClock(worker, sentAt);
    if (!clockMs || !least || *clockMs >= *least) {
        return;
    }
    worker.m_isIncarnationInDoubt = true;
    worker.m_hasAcceptedToken = false;
    worker.m_predecessorLeaseUntil = std::max(worker.m_predecessorLeaseUntil, context.m_now.m_boot + context.m_state.m_settings.longestLease());
}

void resetForNewIncarnation(WorkerState &worker, const workers::Registration &registration)
{
    const WorkerState before = worker;
    worker = WorkerState();
    worker.m_runs = before.m_runs;
    worker.m_allocated = before.m_allocated;
    worker.m_servingRuns = before.m_servingRuns;
    worker.m_bestEffortRuns = before.m_bestEffortRuns;
    // A former holder that still has authority may renew leases of the new incarnation too.
    worker.m_predecessorLeaseUntil = before.m_predecessorLeaseUntil;
    worker.m_registration = registration;
}

/// Handles a worker that restarted under the same id. The runs of the previous incarnation are gone, but a start order sent to it
/// may have reached the new one, which has seen no fencing token yet and accepts it. Only the new incarnation's own list of runs
/// shows whether a run exists.
void moveToNewIncarnation(Context &context, WorkerState &worker, const workers::Registration &registration, const char *learnedFrom)
{
    logRestart(context, worker, registration.m_incarnation, learnedFrom);
    resetForNewIncarnation(worker, registration);
    // Once it has seen this holder's token, it refuses the orders of former holders.
    worker.m_isProbeDue = true;
    worker.m_predecessorLeaseUntil = std::max(worker.m_predecessorLeaseUntil, context.m_now.m_boot + context.m_state.m_settings.longestLease());
    const std::set<jobs::RunId> runs = worker.m_runs;
    for (const jobs::RunId &id : runs) {
        RunState &run = context.m_state.m_runs.at(id);
        run.m_incarnation = registration.m_incarnation;
        // The answer of an order that is under way is lost with the process, so that it counts as unanswered after a further restart too.
        run.m_hasUnansweredStart = run.m_hasUnansweredStart || run.m_startInFlight;
        run.m_isStartUncertain = run.m_isStartUncertain || run.m_hasUnansweredStart;
        run.m_startInFlight = false;
        run.m_stopInFlight = false;
        run.m_stopAnswered = false;
        run.m_isUnconfirmedAfterRestart = true;
        run.m_observation = {};
        settleStart(context.m_state, id, run);
        queueOrder(worker, id, run);
        if (run.m_phase == RunPhase::Recording) {
            requestStop(context, id, "worker-reborn");
        }
    }
}

void applyRegistration(Context &context, const workers::Registration &registration)
{
    WorkerState &worker = context.m_state.m_workers[registration.m_incarnation.m_worker];
    const workers::WorkerIncarnation &known = worker.m_registration.m_incarnation;
    if (known.m_startedAtMs == 0) {
        worker.m_registration = registration;
        // It may have ends to report of runs that were given up, and may have restarted, but has no new run that would cause a poll.
        worker.m_isProbeDue = true;
        context.m_state.m_planIsDue = true;
    } else if (registration.m_incarnation.m_startedAtMs > known.m_startedAtMs) {
        moveToNewIncarnation(context, worker, registration, "list");
        context.m_state.m_planIsDue = true;
    } else if (registration.m_incarnation.m_startedAtMs < known.m_startedAtMs) {
        return;
    }
    updateDeparture(context, worker, registration);
    worker.m_registration = registration;
    worker.m_isListed = true;
    worker.m_listedAt = context.m_now.m_boot;
    if (registration.m_clockMs && !worker.m_clockMs) {
        worker.m_clockMs = registration.m_clockMs;
        worker.m_clockAt = context.m_now.m_boot;
    }
}

/// Ends the runs of workers that are no longer listed and whose machine has a newer worker, since the old worker is gone. The newer
/// one must have answered under its own id: an entry of another writer may name the machine too.
void endRunsOfReplaced(Context &context)
{
    std::map<fleet::MachineId, const WorkerState *> newest;
    for (const auto &[id, worker] : context.m_state.m_workers) {
        const fleet::MachineId &machine = worker.m_registration.m_machine;
        if (!worker.m_isListed || machine.empty() || !worker.m_hasAcceptedToken) {
            continue;
        }
        const WorkerState *&known = newest[machine];
        if (known == nullptr || worker.m_registration.m_incarnation.m_startedAtMs > known->m_registration.m_incarnation.m_startedAtMs) {
            known = &worker;
        }
    }
    std::vector<jobs::RunId> lost;
    for (const auto &[id, worker] : context.m_state.m_workers) {
        const auto other = newest.find(worker.m_registration.m_machine);
        const bool isReplaced = !worker.m_isListed && !worker.m_runs.empty() && other != newest.end()
            && other->second->m_registration.m_incarnation.m_startedAtMs > worker.m_registration.m_incarnation.m_startedAtMs;
        if (isReplaced) {
            lost.insert(lost.end(), worker.m_runs.begin(), worker.m_runs.end());
        }
    }
    for (const jobs::RunId &run : lost) {
        endRun(context, run, jobs::RunEnd::LostWithWorker, {}, RunEndProof::NewerWorkerOnMachine);
    }
}

void applyEndedTasks(Context &context, WorkerState &worker, const std::vector<workers::EndedTask> &ended)
{
    for (const workers::EndedTask &task : ended) {
        if (task.m_number <= worker.m_endsReceived) {
            continue;
        }
        worker.m_endsReceived = task.m_number;
        context.m_endNumbers[worker.m_registration.m_incarnation] = task.m_number;
        const RunState *run = findRun(context, task.m_run);
        if (run != nullptr && run->m_incarnation == worker.m_registration.m_incarnation) {
            endRun(context, task.m_run, task.m_end, task.m_checkpoint, RunEndProof::ReportedByWorker);
            continue;
        }
        logEndAfterClose(context, worker.m_registration.m_incarnation, task);
        if (task.m_end == jobs::RunEnd::Done) {
            recordDoneAfterClose(context, task.m_run, worker.m_registration.m_incarnation);
        }
    }
}

void applyRunningTask(Context &context, const workers::WorkerIncarnation &incarnation, const workers::RunningTask &task)
{
    RunState *run = findRun(context, task.m_run);
    if (run == nullptr || run->m_incarnation != incarnation) {
        // A delayed start order was carried out after the run had been given up.
        logStrayRun(context, incarnation, task.m_run);
        const WorkerState *worker = findWorker(context, incarnation);
        recordStrayRun(context, *worker, task.m_run);
        context.m_out.m_stops.push_back({incarnation, worker->m_registration.m_address, task.m_run, context.m_state.m_token});
        return;
    }
    settleStart(context.m_state, task.m_run, *run);
    if (run->m_phase != RunPhase::Running) {
        run->m_phase = RunPhase::Running;
        run->m_startedAt = context.m_now.m_boot;
        run->m_percentAt = context.m_now.m_boot;
    }
    run->m_isStartUncertain = false;
    if (WorkerState *worker = findWorker(context, incarnation)) {
        recordHealthyStart(*worker, *run, context.m_now.m_boot);
        recordResponseTimes(context, *worker, task.m_run, task);
    }
    if (run->m_percentAt == run->m_startedAt && task.m_percent > 0 && !run->m_checkpoint.empty()) {
        run->m_initialPercent = task.m_percent;
    }
    if (task.m_percent != run->m_percent) {
        run->m_percent = task.m_percent;
        run->m_percentAt = context.m_now.m_boot;
        observeProgress(context, task.m_run, *run);
    }
    if (!task.m_checkpoint.empty()) {
        run->m_checkpoint = task.m_checkpoint;
    }
}

/// Handles a run that the new incarnation of its worker does not have. If a start order without an answer may still reach the
/// worker, the run is stopped there; otherwise it ends as lost.
void resolveAfterRestart(Context &context, const jobs::RunId &id, RunState &run)
{
    run.m_isUnconfirmedAfterRestart = false;
    if (run.m_isStartUncertain) {
        run.m_phase = RunPhase::Starting;
        context.m_state.m_unsettledRuns.insert(id);
        requestStop(context, id, "worker-reborn");
    } else {
        endRun(context, id, jobs::RunEnd::LostWithWorker, {}, RunEndProof::RestartedWithoutIt);
    }
}

/// Handles the runs that the worker lists neither as running nor as ended.
void resolveUnlistedRuns(Context &context, const WorkerState &worker, const std::vector<workers::RunningTask> &running, fleet::BootTime sentAt)
{
    std::set<jobs::RunId> present;
    for (const workers::RunningTask &task : running) {
        present.insert(task.m_run);
    }
    const std::set<jobs::RunId> runs = worker.m_runs;
    for (const jobs::RunId &id : runs) {
        RunState &run = context.m_state.m_runs.at(id);
        if (present.contains(id)) {
            run.m_isUnconfirmedAfterRestart = false;
            continue;
        }
        if (run.m_isUnconfirmedAfterRestart) {
            resolveAfterRestart(context, id, run);
            continue;
        }
        if (run.m_phase == RunPhase::Starting && run.m_nextStartAt == fleet::BootTime::max()) {
            // The run was taken over and has not begun. The worker has seen the token of this holder and refuses orders of the
            // previous one, so a new start is safe.
            run.m_isStartUncertain = false;
            run.m_nextStartAt = context.m_now.m_boot;
            queueOrder(context.m_state.m_workers.at(worker.m_registration.m_incarnation.m_worker), id, run);
        }
        const bool wasRunning = run.m_phase == RunPhase::Running && run.m_startedAt < sentAt;
        const bool wasOver = (run.m_isOverOnWorker && run.m_overSince < sentAt) || (run.m_stopAnswered && run.m_overSince < sentAt);
        if (wasRunning || wasOver) {
            const RunEndProof proofOfEnd = run.m_stopAnswered ? RunEndProof::StopConfirmed : RunEndProof::RefusedAsOver;
            const RunEndProof proof = wasOver ? proofOfEnd : RunEndProof::NotListedByWorker;
            endRun(context, id, run.m_phase == RunPhase::Running ? jobs::RunEnd::LostWithWorker : jobs::RunEnd::NeverBegan, {}, proof);
        }
    }
}

/// Gives up a start that the worker refused. The refusal only shows that this order did nothing: a run that the worker has listed goes on,
/// and one that an earlier order without an answer may still begin is stopped instead of ended.
void giveUpStart(Context &context, const jobs::RunId &id, RunState &run, const std::string &why, RunEndProof proof)
{
    if (run.m_phase == RunPhase::Running) {
        return;
    }
    if (run.m_isStartUncertain) {
        requestStop(context, id, why);
        return;
    }
    context.m_out.m_log.push_back(logging::Line("dispatch", "start-refused")
                                      .add("task", toString(id.m_task))
                                      .add("run", id.m_run)
                                      .add("worker", run.m_incarnation.m_worker.value())
                                      .add("why", why));
    endRun(context, id, jobs::RunEnd::NeverBegan, {}, proof);
}

}

void applyWorkerList(Context &context, const std::vector<workers::Registration> &registrations)
{
    std::set<fleet::WorkerId> listed;
    for (const workers::Registration &registration : registrations) {
        listed.insert(registration.m_incarnation.m_worker);
        applyRegistration(context, registration);
    }
    for (auto entry = context.m_state.m_workers.begin(); entry != context.m_state.m_workers.end();) {
        WorkerState &worker = entry->second;
        worker.m_isListed = listed.contains(entry->first);
        const bool isForgotten = !worker.m_isListed && !worker.m_pollInFlight && !isWatched(context, worker);
        entry = isForgotten ? context.m_state.m_workers.erase(entry) : std::next(entry);
    }
    endRunsOfReplaced(context);
}

void applyPollResult(Context &context, const workers::PollOrder &order, fleet::BootTime sentAt, const workers::PollResult &result)
{
    WorkerState *worker = findWorker(context, order.m_target);
    if (worker == nullptr) {
        return;
    }
    const fleet::BootTime now = context.m_now.m_boot;
    (order.m_isProbe ? worker->m_probeInFlight : worker->m_pollInFlight) = false;
    switch (result.m_outcome) {
    case workers::PollOutcome::Fenced:
        context.m_out.m_isFenced = true;
        return;
    case workers::PollOutcome::NoAnswer:
    case workers::PollOutcome::OtherIncarnation:
    case workers::PollOutcome::Unhealthy:
        recordNoAnswer(context, *worker);
        if (result.m_outcome == workers::PollOutcome::OtherIncarnation) {
            worker->m_gaveUpRunsAt.reset();
        }
        worker->m_nextPollAt = now + (isWatched(context, *worker) ? pollRetryDelay : probeInterval);
        return;
    case workers::PollOutcome::Answered:
        break;
    }
    if (result.m_startedAtMs && *result.m_startedAtMs > order.m_target.m_startedAtMs) {
        workers::Registration registration = worker->m_registration;
        registration.m_incarnation.m_startedAtMs = *result.m_startedAtMs;
        moveToNewIncarnation(context, *worker, registration, "poll");
    }
    recordAnswer(context, *worker, result.m_clockMs);
    worker->m_gaveUpRunsAt.reset();
    worker->m_isIncarnationInDoubt = false;
    if (!worker->m_hasAcceptedToken) {
        // Leases granted by earlier holders end at most one lease length from now.
        worker->m_grantedLeaseEndMs = std::max(worker->m_grantedLeaseEndMs, result.m_clockMs + context.m_state.m_settings.m_leaseLimit.count());
        worker->m_hasAcceptedToken = true;
    }
    worker->m_endsAcknowledged = std::max(worker->m_endsAcknowledged, order.m_acknowledgedUpTo);
    const workers::WorkerIncarnation workerIncarnation = worker->m_registration.m_incarnation;
    applyEndedTasks(context, *worker, result.m_ended);
    forgetStrayRuns(context, *worker);
    for (const workers::RunningTask &task : result.m_running) {
        applyRunningTask(context, workerIncarnation, task);
    }
    if (result.m_ended.size() < workers::maxEndsAtOnce) {
        // Otherwise the end of a run that is not listed may follow in the next answer.
        resolveUnlistedRuns(context, *worker, result.m_running, sentAt);
    }
    // More ends follow an answer with as many as there may be.
    const bool mayHaveMoreEnds = result.m_ended.size() >= workers::maxEndsAtOnce;
    const fleet::Duration pause = std::min(maxPollPause, fleet::Duration(result.m_running.size() / listedRunsPerMillisecond));
    worker->m_pollNotBefore = mayHaveMoreEnds ? now : now + pause;
    if (worker->m_endsReceived > worker->m_endsStored) {
        worker->m_nextPollAt = now + unstoredPollInterval;
    }
    if (hasStrayRuns(context, *worker)) {
        // The next poll shows whether the stops that were sent have taken effect.
        worker->m_nextPollAt = now + strayRunPollInterval;
    }
}

namespace
{

/// The run may need a further order after an answer, unless the answer has ended it.
void queueNextOrder(Context &context, const jobs::RunId &id, const workers::WorkerIncarnation &target)
{
    const RunState *run = findRun(context, id);
    WorkerState *worker = findWorker(context, target);
    if (run != nullptr && worker != nullptr && run->m_incarnation == target) {
        queueOrder(*worker, id, *run);
    }
}

void applyStartAnswer(Context &context, const workers::StartOrder &order, const workers::OrderResult &result)
{
    RunState *run = findRun(context, order.m_run);
    WorkerState *worker = findWorker(context, order.m_target);
    if (run == nullptr || worker == nullptr || run->m_incarnation != order.m_target) {
        return;
    }
    const fleet::BootTime now = context.m_now.m_boot;
    endOrder(*worker, run->m_startInFlight);
    if (result.m_outcome != workers::OrderOutcome::LeaseExpired) {
        settleStart(context.m_state, order.m_run, *run);
    }
    if (result.m_outcome == workers::OrderOutcome::Unknown || result.m_outcome == workers::OrderOutcome::NotSent) {
        run->m_isStartUncertain = run->m_isStartUncertain || result.m_outcome == workers::OrderOutcome::Unknown;
        run->m_hasUnansweredStart = run->m_hasUnansweredStart || result.m_outcome == workers::OrderOutcome::Unknown;
        recordNoAnswer(context, *worker);
        if (result.m_outcome == workers::OrderOutcome::NotSent && !run->m_isStartUncertain) {
            giveUpStart(context, order.m_run, *run, "unreachable", RunEndProof::NotSent);
        }
        return;
    }
    detectRestart(context, *worker, result.m_clockMs, run->m_startSentAt);
    recordAnswer(context, *worker, result.m_clockMs);
    switch (result.m_outcome) {
    case workers::OrderOutcome::Done:
        if (run->m_phase == RunPhase::Starting) {
            run->m_phase = RunPhase::Running;
            run->m_startedAt = now;
            run->m_percentAt = now;
            // After an order without an answer, the run may have started earlier.
            if (!run->m_isStartUncertain) {
                observeStart(context, *run);
            }
        }
        break;
    case workers::OrderOutcome::Fenced:
        context.m_out.m_isFenced = true;
        break;
    case workers::OrderOutcome::RunIsOver:
        run->m_isOverOnWorker = true;
        run->m_overSince = now;
        break;
    case workers::OrderOutcome::LeaseExpired:
        run->m_nextStartAt = now;
        break;
    case workers::OrderOutcome::NoCapacity:
        avoid(*worker, now + noCapacityPause);
        giveUpStart(context, order.m_run, *run, "no-room", RunEndProof::RefusedForRoom);
        break;
    case workers::OrderOutcome::BadTicket:
        dropTicket(context, order.m_run.m_task.m_step, order.m_target.m_worker);
        giveUpStart(context, order.m_run, *run, "bad-ticket", RunEndProof::RefusedForTicket);
        break;
    case workers::OrderOutcome::OtherIncarnation:
        avoid(*worker, now + unavailablePause);
        if (run->m_phase == RunPhase::Running) {
            endRun(context, order.m_run, jobs::RunEnd::LostWithWorker, {}, RunEndProof::OtherInstanceAnswered);
            break;
        }
        run->m_isStartUncertain = false;
        giveUpStart(context, order.m_run, *run, "other-life", RunEndProof::OtherInstanceAnswered);
        break;
    default:
        avoid(*worker, now + unavailablePause);
        giveUpStart(context, order.m_run, *run, "outcome-" + std::to_string(static_cast<int>(result.m_outcome)), RunEndProof::Refused);
        break;
    }
}

void applyStopAnswer(Context &context, const workers::StopOrder &order, const workers::OrderResult &result)
{
    RunState *run = findRun(context, order.m_run);
    WorkerState *worker = findWorker(context, order.m_target);
    if (run == nullptr || worker == nullptr || run->m_incarnation != order.m_target) {
        return;
    }
    endOrder(*worker, run->m_stopInFlight);
    if (result.m_outcome == workers::OrderOutcome::Unknown || result.m_outcome == workers::OrderOutcome::NotSent) {
        recordNoAnswer(context, *worker);
        return;
    }
    recordAnswer(context, *worker, result.m_clockMs);
    if (result.m_outcome == workers::OrderOutcome::Fenced) {
        context.m_out.m_isFenced = true;
    } else if (result.m_outcome == workers::OrderOutcome::OtherIncarnation) {
        endRun(context, order.m_run, jobs::RunEnd::LostWithWorker, {}, RunEndProof::OtherInstanceAnswered);
    } else if (result.m_outcome == workers::OrderOutcome::Done || result.m_outcome == workers::OrderOutcome::RunIsOver) {
        run->m_stopAnswered = true;
        run->m_overSince = context.m_now.m_boot;
    }
}

}

void applyStartResult(Context &context, const workers::StartOrder &order, const workers::OrderResult &result)
{
    if (result.m_outcome == workers::OrderOutcome::Unknown) {
        recordUnansweredStart(context, order);
    }
    applyStartAnswer(context, order, result);
    queueNextOrder(context, order.m_run, order.m_target);
}

void applyStopResult(Context &context, const workers::StopOrder &order, const workers::OrderResult &result)
{
    recordStopAnswer(context, order, result);
    applyStopAnswer(context, order, result);
    queueNextOrder(context, order.m_run, order.m_target);
}

}
