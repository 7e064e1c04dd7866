#include "components/dispatch/reports.hpp"

#include "components/dispatch/advice.hpp"
#include "components/dispatch/context.hpp"
#include "components/dispatch/runs.hpp"

#include <algorithm>

namespace dispatch
{

namespace
{

/// Pause after a look without an answer.
constexpr fleet::Duration lookRetry {200};
/// While ends are not stored, a worker is looked at this often just to keep its lease. Once they are, it is looked at again.
constexpr fleet::Duration unstoredLookInterval {1000};
/// An idle worker that did not answer is asked again after this.
constexpr fleet::Duration probeInterval {1000};
/// A worker that refuses a start, or does not answer, gets no new runs for this long.
constexpr fleet::Duration noRoomPause {300};
constexpr fleet::Duration unwellPause {1500};

void avoid(WorkerState &worker, fleet::BootTime until)
{
    worker.m_avoidUntil = std::max(worker.m_avoidUntil, until);
}

void noteAnswer(Context &context, WorkerState &worker, std::optional<std::int64_t> clockMs)
{
    const fleet::BootTime now = context.m_now.m_boot;
    worker.m_lastAnswerAt = now;
    context.m_state.m_zoneAnsweredAt[worker.m_registration.m_zone] = now;
    worker.m_silences = 0;
    if (clockMs) {
        noteClock(worker, *clockMs, now);
    }
}

void noteSilence(WorkerState &worker, fleet::BootTime now)
{
    ++worker.m_silences;
    avoid(worker, now + unwellPause);
}

void beginLife(WorkerState &worker, const workers::Registration &registration)
{
    const WorkerState before = worker;
    worker = WorkerState();
    worker.m_runs = before.m_runs;
    worker.m_booked = before.m_booked;
    worker.m_servingRuns = before.m_servingRuns;
    worker.m_fillingRuns = before.m_fillingRuns;
    worker.m_registration = registration;
}

/// A worker came back under its id. What the life before ran is gone, but an order that was sent to it may have reached the new
/// life, which has seen no token: only the lists of the new life tell.
void moveToNewLife(Context &context, WorkerState &worker, const workers::Registration &registration)
{
    beginLife(worker, registration);
    worker.m_foreignLeaseUntil = context.m_now.m_boot + context.m_state.m_settings.longestLease();
    const std::set<jobs::RunId> runs = worker.m_runs;
    for (const jobs::RunId &id : runs) {
        RunState &run = context.m_state.m_runs.at(id);
        run.m_on = registration.m_incarnation;
        run.m_isUncertain = run.m_isUncertain || run.m_startInFlight || run.m_hasUnansweredStart;
        run.m_startInFlight = false;
        run.m_stopInFlight = false;
        run.m_stopAnswered = false;
        run.m_isLifeUnsure = true;
        if (run.m_phase == RunPhase::Recording) {
            wantStop(context, id, "worker-reborn");
        }
    }
}

void takeRegistration(Context &context, const workers::Registration &registration)
{
    WorkerState &worker = context.m_state.m_workers[registration.m_incarnation.m_worker];
    const workers::WorkerIncarnation &known = worker.m_registration.m_incarnation;
    if (known.m_startedAtMs == 0) {
        worker.m_registration = registration;
        context.m_state.m_planIsDue = true;
    } else if (registration.m_incarnation.m_startedAtMs > known.m_startedAtMs) {
        moveToNewLife(context, worker, registration);
        context.m_state.m_planIsDue = true;
    } else if (registration.m_incarnation.m_startedAtMs < known.m_startedAtMs) {
        return;
    }
    worker.m_registration = registration;
    worker.m_isListed = true;
    worker.m_listedAt = context.m_now.m_boot;
    if (registration.m_clockMs && !worker.m_clockMs) {
        worker.m_clockMs = registration.m_clockMs;
        worker.m_clockAt = context.m_now.m_boot;
    }
}

/// The machine of a worker that is no longer listed carries another one now, so the worker is gone.
void endRunsOfReplaced(Context &context)
{
    std::map<fleet::MachineId, const WorkerState *> newest;
    for (const auto &[id, worker] : context.m_state.m_workers) {
        const fleet::MachineId &machine = worker.m_registration.m_machine;
        if (worker.m_isListed && !machine.empty()) {
            newest[machine] = &worker;
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
        endRun(context, run, jobs::RunEnd::LostWithWorker, {});
    }
}

void takeEnds(Context &context, WorkerState &worker, const std::vector<workers::EndedTask> &ended)
{
    for (const workers::EndedTask &task : ended) {
        if (task.m_number <= worker.m_endsTaken) {
            continue;
        }
        worker.m_endsTaken = task.m_number;
        context.m_endNumbers[worker.m_registration.m_incarnation] = task.m_number;
        const RunState *run = findRun(context, task.m_run);
        if (run != nullptr && run->m_on == worker.m_registration.m_incarnation) {
            endRun(context, task.m_run, task.m_end, task.m_checkpoint);
        }
    }
}

void takeRunning(Context &context, const workers::WorkerIncarnation &on, const workers::RunningTask &task)
{
    RunState *run = findRun(context, task.m_run);
    if (run == nullptr || run->m_on != on) {
        // A late order was carried out after the run had been given up.
        const workers::WorkerIncarnation life = on;
        context.m_out.m_log.push_back(logging::Line("dispatch", "stray-run", logging::Level::Warning)
                                          .add("task", toString(task.m_run.m_task))
                                          .add("run", task.m_run.m_run)
                                          .add("worker", life.m_worker.value()));
        const WorkerState *worker = findWorker(context, life);
        context.m_out.m_stops.push_back({life, worker->m_registration.m_address, task.m_run, context.m_state.m_token});
        return;
    }
    if (run->m_phase != RunPhase::Running) {
        run->m_phase = RunPhase::Running;
        run->m_startedAt = context.m_now.m_boot;
        run->m_percentAt = context.m_now.m_boot;
    }
    run->m_isUncertain = false;
    if (WorkerState *worker = findWorker(context, on)) {
        noteSoundStart(*worker, *run, context.m_now.m_boot);
    }
    if (run->m_percentAt == run->m_startedAt && task.m_percent > 0 && !run->m_checkpoint.empty()) {
        run->m_firstPercent = task.m_percent;
    }
    if (task.m_percent != run->m_percent) {
        run->m_percent = task.m_percent;
        run->m_percentAt = context.m_now.m_boot;
    }
    if (!task.m_checkpoint.empty()) {
        run->m_checkpoint = task.m_checkpoint;
    }
}

/// The new life of a worker does not have the run. An order without an answer may still reach it, so the run is stopped there.
void settleInNewLife(Context &context, const jobs::RunId &id, RunState &run)
{
    run.m_isLifeUnsure = false;
    if (run.m_isUncertain) {
        run.m_phase = RunPhase::Starting;
        context.m_state.m_unsettled.insert(id);
        wantStop(context, id, "worker-reborn");
    } else {
        endRun(context, id, jobs::RunEnd::LostWithWorker, {});
    }
}

/// Settles the runs that the worker lists neither as running nor as ended.
void settleAbsent(Context &context, const WorkerState &worker, const std::vector<workers::RunningTask> &running, fleet::BootTime sentAt)
{
    std::set<jobs::RunId> present;
    for (const workers::RunningTask &task : running) {
        present.insert(task.m_run);
    }
    const std::set<jobs::RunId> runs = worker.m_runs;
    for (const jobs::RunId &id : runs) {
        RunState &run = context.m_state.m_runs.at(id);
        if (present.contains(id)) {
            run.m_isLifeUnsure = false;
            continue;
        }
        if (run.m_isLifeUnsure) {
            settleInNewLife(context, id, run);
            continue;
        }
        if (run.m_phase == RunPhase::Starting && run.m_nextStartAt == fleet::BootTime::max()) {
            // Taken over and not begun. The token of this holder now bars every order of the one before.
            run.m_isUncertain = false;
            run.m_nextStartAt = context.m_now.m_boot;
        }
        const bool wasThere = run.m_phase == RunPhase::Running && run.m_startedAt < sentAt;
        const bool isSettledThere = (run.m_isOverThere && run.m_overSince < sentAt) || (run.m_stopAnswered && run.m_overSince < sentAt);
        if (wasThere || isSettledThere) {
            endRun(context, id, run.m_phase == RunPhase::Running ? jobs::RunEnd::LostWithWorker : jobs::RunEnd::NeverBegan, {});
        }
    }
}

/// The run is not on the worker and this order left nothing behind; an earlier one without an answer may have.
void giveUpStart(Context &context, const jobs::RunId &id, RunState &run, const std::string &why)
{
    if (run.m_isUncertain) {
        wantStop(context, id, why);
        return;
    }
    context.m_out.m_log.push_back(logging::Line("dispatch", "start-refused")
                                      .add("task", toString(id.m_task))
                                      .add("run", id.m_run)
                                      .add("worker", run.m_on.m_worker.value())
                                      .add("why", why));
    endRun(context, id, jobs::RunEnd::NeverBegan, {});
}

}

void takeList(Context &context, const std::vector<workers::Registration> &registrations)
{
    std::set<fleet::WorkerId> listed;
    for (const workers::Registration &registration : registrations) {
        listed.insert(registration.m_incarnation.m_worker);
        takeRegistration(context, registration);
    }
    for (auto entry = context.m_state.m_workers.begin(); entry != context.m_state.m_workers.end();) {
        WorkerState &worker = entry->second;
        worker.m_isListed = listed.contains(entry->first);
        const bool isForgotten = !worker.m_isListed && worker.m_runs.empty() && !worker.m_lookInFlight;
        entry = isForgotten ? context.m_state.m_workers.erase(entry) : std::next(entry);
    }
    endRunsOfReplaced(context);
}

void takeLook(Context &context, const workers::PollOrder &order, fleet::BootTime sentAt, const workers::PollResult &result)
{
    WorkerState *worker = findWorker(context, order.m_target);
    if (worker == nullptr) {
        return;
    }
    const fleet::BootTime now = context.m_now.m_boot;
    worker->m_lookInFlight = false;
    switch (result.m_outcome) {
    case workers::PollOutcome::Fenced:
        context.m_out.m_isFenced = true;
        return;
    case workers::PollOutcome::NoAnswer:
    case workers::PollOutcome::OtherIncarnation:
    case workers::PollOutcome::Unhealthy:
        noteSilence(*worker, now);
        worker->m_nextLookAt = now + (worker->m_runs.empty() ? probeInterval : lookRetry);
        return;
    case workers::PollOutcome::Answered:
        break;
    }
    if (result.m_startedAtMs && *result.m_startedAtMs > order.m_target.m_startedAtMs) {
        workers::Registration registration = worker->m_registration;
        registration.m_incarnation.m_startedAtMs = *result.m_startedAtMs;
        moveToNewLife(context, *worker, registration);
    }
    noteAnswer(context, *worker, result.m_clockMs);
    if (!worker->m_isFenced) {
        // What the holder before granted is at most one lease from now.
        worker->m_promisedUntilMs = std::max(worker->m_promisedUntilMs, result.m_clockMs + context.m_state.m_settings.m_leaseLimit.count());
        worker->m_isFenced = true;
    }
    worker->m_endsForgotten = std::max(worker->m_endsForgotten, order.m_acknowledgedUpTo);
    const workers::WorkerIncarnation life = worker->m_registration.m_incarnation;
    takeEnds(context, *worker, result.m_ended);
    for (const workers::RunningTask &task : result.m_running) {
        takeRunning(context, life, task);
    }
    settleAbsent(context, *worker, result.m_running, sentAt);
    if (worker->m_endsTaken > worker->m_endsStored) {
        worker->m_nextLookAt = now + unstoredLookInterval;
    }
}

void takeStart(Context &context, const workers::StartOrder &order, const workers::OrderResult &result)
{
    RunState *run = findRun(context, order.m_run);
    WorkerState *worker = findWorker(context, order.m_target);
    if (run == nullptr || worker == nullptr || run->m_on != order.m_target) {
        return;
    }
    const fleet::BootTime now = context.m_now.m_boot;
    run->m_startInFlight = false;
    if (result.m_outcome == workers::OrderOutcome::Unknown || result.m_outcome == workers::OrderOutcome::NotSent) {
        run->m_isUncertain = run->m_isUncertain || result.m_outcome == workers::OrderOutcome::Unknown;
        run->m_hasUnansweredStart = run->m_hasUnansweredStart || result.m_outcome == workers::OrderOutcome::Unknown;
        noteSilence(*worker, now);
        if (result.m_outcome == workers::OrderOutcome::NotSent && !run->m_isUncertain && run->m_phase == RunPhase::Starting) {
            giveUpStart(context, order.m_run, *run, "unreachable");
        }
        return;
    }
    noteAnswer(context, *worker, result.m_clockMs);
    switch (result.m_outcome) {
    case workers::OrderOutcome::Done:
        if (run->m_phase == RunPhase::Starting) {
            run->m_phase = RunPhase::Running;
            run->m_startedAt = now;
            run->m_percentAt = now;
        }
        break;
    case workers::OrderOutcome::Fenced:
        context.m_out.m_isFenced = true;
        break;
    case workers::OrderOutcome::RunIsOver:
        run->m_isOverThere = true;
        run->m_overSince = now;
        break;
    case workers::OrderOutcome::LeaseExpired:
        run->m_nextStartAt = now;
        break;
    case workers::OrderOutcome::NoCapacity:
        avoid(*worker, now + noRoomPause);
        giveUpStart(context, order.m_run, *run, "no-room");
        break;
    case workers::OrderOutcome::BadTicket:
        dropTicket(context, order.m_run.m_task.m_step, order.m_target.m_worker);
        giveUpStart(context, order.m_run, *run, "bad-ticket");
        break;
    case workers::OrderOutcome::OtherIncarnation:
        avoid(*worker, now + unwellPause);
        run->m_isUncertain = false;
        giveUpStart(context, order.m_run, *run, "other-life");
        break;
    default:
        avoid(*worker, now + unwellPause);
        giveUpStart(context, order.m_run, *run, "outcome-" + std::to_string(static_cast<int>(result.m_outcome)));
        break;
    }
}

void takeStop(Context &context, const workers::StopOrder &order, const workers::OrderResult &result)
{
    RunState *run = findRun(context, order.m_run);
    WorkerState *worker = findWorker(context, order.m_target);
    if (run == nullptr || worker == nullptr || run->m_on != order.m_target) {
        return;
    }
    run->m_stopInFlight = false;
    if (result.m_outcome == workers::OrderOutcome::Unknown || result.m_outcome == workers::OrderOutcome::NotSent) {
        noteSilence(*worker, context.m_now.m_boot);
        return;
    }
    noteAnswer(context, *worker, result.m_clockMs);
    if (result.m_outcome == workers::OrderOutcome::Fenced) {
        context.m_out.m_isFenced = true;
    } else if (result.m_outcome == workers::OrderOutcome::OtherIncarnation) {
        endRun(context, order.m_run, jobs::RunEnd::LostWithWorker, {});
    } else if (result.m_outcome == workers::OrderOutcome::Done || result.m_outcome == workers::OrderOutcome::RunIsOver) {
        run->m_stopAnswered = true;
        run->m_overSince = context.m_now.m_boot;
    }
}

}
