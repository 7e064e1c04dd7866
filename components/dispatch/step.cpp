#include "components/dispatch/step.hpp"

#include "components/dispatch/advice.hpp"
#include "components/dispatch/context.hpp"
#include "components/dispatch/filling.hpp"
#include "components/dispatch/orders.hpp"
#include "components/dispatch/plan.hpp"
#include "components/dispatch/reports.hpp"
#include "components/dispatch/runs.hpp"
#include "components/dispatch/upkeep.hpp"
#include "components/dispatch/zone_cuts.hpp"
#include "components/journal/journal_state.hpp"

#include <algorithm>
#include <utility>

namespace dispatch
{

namespace
{

/// A run that neither began nor ended within this time is reported.
constexpr fleet::Duration overdueTime {4000};
/// Without events a plan is made this often: workers are avoided for a time, and occurrences fall due.
constexpr fleet::Duration idlePlanInterval {100};
/// While steps wait for room, plans are at least this far apart; each looks at all of them.
constexpr fleet::Duration backlogPlanPause {20};

Context makeContext(State &state, const Surroundings &around, fleet::Now now)
{
    return {state, around.m_ledger, around.m_catalog, around.m_zonesOut, around.m_waves, now, {}, {}, {}, {}, {}};
}

void settleTouched(Context &context)
{
    while (!context.m_touched.empty()) {
        const std::set<jobs::JobId> touched = std::exchange(context.m_touched, {});
        for (const jobs::JobId &job : touched) {
            settleJob(context, job);
        }
    }
}

void noteStored(State &state, const StoredNote &note, fleet::BootTime now)
{
    for (const jobs::RunId &id : note.m_launched) {
        const auto run = state.m_runs.find(id);
        if (run != state.m_runs.end() && run->second.m_phase == RunPhase::Recording) {
            run->second.m_phase = RunPhase::Starting;
            run->second.m_nextStartAt = now;
        }
    }
    for (const auto &[life, number] : note.m_ends) {
        const auto worker = state.m_workers.find(life.m_worker);
        if (worker != state.m_workers.end() && worker->second.m_registration.m_incarnation == life) {
            worker->second.m_endsStored = std::max(worker->second.m_endsStored, number);
            worker->second.m_nextLookAt = now;
        }
    }
}

/// Ends that the journal has already: the worker may forget them as soon as all records made before are stored.
void noteKnownEnds(Context &context)
{
    std::deque<StoredNote> &unstored = context.m_state.m_unstored;
    if (unstored.empty()) {
        noteStored(context.m_state, {0, {}, context.m_endNumbers}, context.m_now.m_boot);
        return;
    }
    for (const auto &[life, number] : context.m_endNumbers) {
        unstored.back().m_ends[life] = number;
    }
}

/// Gathers what the step recorded into one batch and notes what may go on once it is stored.
void recordStep(Context &context)
{
    const bool hasUpkeep = !context.m_out.m_records.empty();
    if (context.m_ended.empty() && context.m_launched.empty() && !hasUpkeep) {
        noteKnownEnds(context);
        return;
    }
    StoredNote note;
    note.m_batch = context.m_state.m_nextBatch++;
    note.m_ends = context.m_endNumbers;
    if (!context.m_ended.empty()) {
        context.m_out.m_records.emplace_back(journal::RunsEnded {context.m_ended, context.m_now.m_wall});
    }
    if (!context.m_launched.empty()) {
        for (const journal::Launch &launched : context.m_launched) {
            note.m_launched.push_back(launched.m_run);
        }
        context.m_out.m_records.emplace_back(journal::RunsLaunched {context.m_launched});
    }
    context.m_out.m_batch = note.m_batch;
    context.m_state.m_unstored.push_back(std::move(note));
}

Outbox finish(Context &context)
{
    settleTouched(context);
    recordStep(context);
    return std::move(context.m_out);
}

/// Runs that should long have begun or ended.
void logOverdueRuns(Context &context)
{
    for (const jobs::RunId &id : context.m_state.m_unsettled) {
        RunState &run = context.m_state.m_runs.at(id);
        const fleet::BootTime since = std::max({run.m_overdueLoggedAt, run.m_stopWantedAt, run.m_launchedAt});
        const bool isDue = run.m_stopWanted || run.m_phase != RunPhase::Running;
        if (!isDue || context.m_now.m_boot - since < overdueTime) {
            continue;
        }
        run.m_overdueLoggedAt = context.m_now.m_boot;
        const auto worker = context.m_state.m_workers.find(run.m_on.m_worker);
        const bool isKnown = worker != context.m_state.m_workers.end();
        context.m_out.m_log.push_back(logging::Line("dispatch", "overdue", logging::Level::Warning)
                                          .add("task", toString(id.m_task))
                                          .add("run", id.m_run)
                                          .add("worker", run.m_on.m_worker.value())
                                          .add("phase", static_cast<int>(run.m_phase))
                                          .add("stop_wanted", run.m_stopWanted)
                                          .add("stop_answered", run.m_stopAnswered)
                                          .add("uncertain", run.m_isUncertain)
                                          .add("over_there", run.m_isOverThere)
                                          .add("listed", isKnown && worker->second.m_isListed)
                                          .add("silences", isKnown ? worker->second.m_silences : 0)
                                          .add("look_in_flight", isKnown && worker->second.m_lookInFlight)
                                          .add("same_life", isKnown && worker->second.m_registration.m_incarnation == run.m_on));
    }
}

void adopt(Context &context, const journal::JobRecord &job, const jobs::TaskId &task, const journal::TaskRecord &record, fleet::BootTime foreignLeaseUntil)
{
    for (const journal::OpenRun &open : record.m_open) {
        WorkerState &worker = context.m_state.m_workers[open.m_target.m_worker];
        worker.m_registration.m_incarnation = open.m_target;
        worker.m_foreignLeaseUntil = foreignLeaseUntil;
        RunState run = describeRun(context, job, task.m_step.m_step, open.m_target);
        run.m_phase = RunPhase::Starting;
        run.m_checkpoint = record.m_checkpoint;
        // The holder before may have sent an order that is still on its way.
        run.m_isUncertain = true;
        run.m_startTries = 1;
        // The worker's lists come first: they tell whether a start is needed.
        run.m_nextStartAt = fleet::BootTime::max();
        book(context.m_state, {task, open.m_run}, std::move(run));
    }
}

}

Outbox takeOver(State &state, const Surroundings &around, fleet::BootTime foreignLeaseUntil, fleet::Now now)
{
    state.m_upkeepNotBefore = now.m_boot + state.m_settings.m_machineLease;
    Context context = makeContext(state, around, now);
    for (const auto &[id, job] : around.m_ledger.m_jobs) {
        if (!job.isOver()) {
            state.m_active.try_emplace(id, now.m_boot);
        }
        for (const auto &[number, occurrence] : job.m_occurrences) {
            jobs::TaskId task {{id, number, 0}, 0};
            for (const journal::StepRecord &step : occurrence.m_steps) {
                task.m_index = 0;
                for (const journal::TaskRecord &record : step.m_tasks) {
                    adopt(context, job, task, record, foreignLeaseUntil);
                    ++task.m_index;
                }
                ++task.m_step.m_step;
            }
        }
        context.m_touched.insert(id);
    }
    return finish(context);
}

void noteFormerHoldersEnded(State &state, fleet::BootTime until)
{
    for (auto &[id, worker] : state.m_workers) {
        worker.m_foreignLeaseUntil = std::min(worker.m_foreignLeaseUntil, until);
    }
}

Outbox onListRead(State &state, const Surroundings &around, const std::vector<workers::Registration> &registrations, fleet::Now now)
{
    Context context = makeContext(state, around, now);
    takeList(context, registrations);
    state.m_firstListAt = state.m_firstListAt.value_or(now.m_boot);
    return finish(context);
}

Outbox onLookEnded(
    State &state, const Surroundings &around, const workers::PollOrder &order, fleet::BootTime sentAt, const workers::PollResult &result, fleet::Now now)
{
    Context context = makeContext(state, around, now);
    takeLook(context, order, sentAt, result);
    return finish(context);
}

Outbox onStartEnded(State &state, const Surroundings &around, const workers::StartOrder &order, const workers::OrderResult &result, fleet::Now now)
{
    Context context = makeContext(state, around, now);
    takeStart(context, order, result);
    return finish(context);
}

Outbox onStopEnded(State &state, const Surroundings &around, const workers::StopOrder &order, const workers::OrderResult &result, fleet::Now now)
{
    Context context = makeContext(state, around, now);
    takeStop(context, order, result);
    return finish(context);
}

Outbox onAdviceEnded(State &state,
                     const Surroundings &around,
                     const workers::AdviceQuestion &question,
                     fleet::BootTime sentAt,
                     const workers::AdviceAnswer &answer,
                     fleet::Now now)
{
    Context context = makeContext(state, around, now);
    takeAdvice(context, question, sentAt, answer);
    return finish(context);
}

Outbox onStored(State &state, const Surroundings &around, std::uint64_t batch, fleet::Now now)
{
    Context context = makeContext(state, around, now);
    while (!state.m_unstored.empty() && state.m_unstored.front().m_batch <= batch) {
        noteStored(state, state.m_unstored.front(), now.m_boot);
        state.m_unstored.pop_front();
    }
    return finish(context);
}

Outbox onJobsChanged(State &state, const Surroundings &around, const std::vector<jobs::JobId> &jobs, fleet::Now now)
{
    Context context = makeContext(state, around, now);
    for (const jobs::JobId &id : jobs) {
        const journal::JobRecord *job = journal::findJob(around.m_ledger, id);
        if (job != nullptr && !job->isOver()) {
            state.m_active.try_emplace(id, now.m_boot);
        }
        context.m_touched.insert(id);
    }
    state.m_planIsDue = true;
    return finish(context);
}

Outbox onTick(State &state, const Surroundings &around, const std::set<fleet::ZoneId> &unheardZones, fleet::Now now)
{
    Context context = makeContext(state, around, now);
    takeUnheardZones(context, unheardZones);
    probeUnheardZones(context);
    endLapsedRuns(context);
    logOverdueRuns(context);
    carryOnWaves(context);
    separateFilling(context);
    for (const jobs::StepId &gang : std::exchange(state.m_incompleteGangs, {})) {
        context.m_touched.insert(gang.m_job);
    }
    state.m_planIsDue = state.m_planIsDue || now.m_boot - state.m_plannedAt >= idlePlanInterval;
    return finish(context);
}

Outbox onUpkeepEnded(State &state, const Surroundings &around, const machines::UpkeepOrder &order, machines::UpkeepOutcome outcome, fleet::Now now)
{
    Context context = makeContext(state, around, now);
    takeUpkeep(context, order, outcome);
    return finish(context);
}

Outbox onWaveReported(State &state, const Surroundings &around, const machines::WaveReport &report, bool isStored, fleet::Now now)
{
    Context context = makeContext(state, around, now);
    takeReport(context, report, isStored);
    return finish(context);
}

Outbox settle(State &state, const Surroundings &around, fleet::Now now)
{
    Context context = makeContext(state, around, now);
    if (state.m_planIsDue && now.m_boot >= state.m_nextPlanAt) {
        state.m_planIsDue = false;
        state.m_plannedAt = now.m_boot;
        const bool isAnyLeft = plan(context);
        state.m_nextPlanAt = now.m_boot + (isAnyLeft ? backlogPlanPause : fleet::Duration(0));
        settleTouched(context);
    }
    recordStep(context);
    sendDueOrders(context);
    sendDueLooks(context);
    return std::move(context.m_out);
}

}
