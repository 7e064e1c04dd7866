#include "components/dispatch/scheduler_events.hpp"

#include "components/dispatch/advice.hpp"
#include "components/dispatch/best_effort.hpp"
#include "components/dispatch/context.hpp"
#include "components/dispatch/departures.hpp"
#include "components/dispatch/orders.hpp"
#include "components/dispatch/plan.hpp"
#include "components/dispatch/reports.hpp"
#include "components/dispatch/runs.hpp"
#include "components/dispatch/unanswered_starts.hpp"
#include "components/dispatch/upkeep.hpp"
#include "components/dispatch/zone_partitions.hpp"
#include "components/journal/journal_state.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace dispatch
{

namespace
{

/// A run that does not start, or does not end after a stop request, within this time is logged as overdue.
constexpr fleet::Duration overdueTime {4000};
/// Runs with orders that one tick checks; the next tick goes on after them.
constexpr std::size_t maxCheckedRuns = 256;
/// Plan interval without events, for workers whose avoidance period ends and occurrences that become due.
constexpr fleet::Duration idlePlanInterval {100};
/// Minimum time between plans while steps wait for capacity, since each plan examines all of them.
constexpr fleet::Duration backlogPlanPause {20};

Context makeContext(State &state, const Environment &environment, fleet::Now now)
{
    return {state, environment.m_journalState, environment.m_catalog, environment.m_zonesOut, environment.m_waves, now, {}, {}, {}, {}, {}, {}, {}, {}, {}};
}

void applyStored(State &state, const PendingBatch &batch, fleet::BootTime now)
{
    for (const jobs::RunId &id : batch.m_launched) {
        const auto run = state.m_runs.find(id);
        if (run != state.m_runs.end() && run->second.m_phase == RunPhase::Recording) {
            run->second.m_phase = RunPhase::Starting;
            run->second.m_nextStartAt = now;
            queueOrder(state.m_workers.at(run->second.m_incarnation.m_worker), id, run->second);
        }
    }
    for (const journal::UpkeepOrdered &upkeep : batch.m_upkeeps) {
        recordUpkeepStored(state, upkeep);
    }
    for (const auto &[incarnation, number] : batch.m_ends) {
        const auto worker = state.m_workers.find(incarnation.m_worker);
        if (worker != state.m_workers.end() && worker->second.m_registration.m_incarnation == incarnation) {
            worker->second.m_endsStored = std::max(worker->second.m_endsStored, number);
            worker->second.m_nextPollAt = now;
        }
    }
}

/// Handles reported ends that the journal has already. The worker may forget them as soon as all earlier records are stored.
void releaseRecordedEnds(Context &context)
{
    std::deque<PendingBatch> &pending = context.m_state.m_pendingBatches;
    if (pending.empty()) {
        applyStored(context.m_state, {0, {}, {}, context.m_endNumbers}, context.m_now.m_boot);
        return;
    }
    for (const auto &[incarnation, number] : context.m_endNumbers) {
        pending.back().m_ends[incarnation] = number;
    }
}

/// Adds the items in as few records as the store accepts; readers derive the same state from several records as from one.
template<class Item, class MakeRecord>
void addRecords(std::vector<journal::Record> &records, const std::vector<Item> &items, MakeRecord makeRecord)
{
    journal::Record record = makeRecord(items);
    if (items.size() <= 1 || journal::encode(record).size() <= journal::maxRecordBytes) {
        records.push_back(std::move(record));
        return;
    }
    const auto middle = items.begin() + static_cast<std::ptrdiff_t>(items.size() / 2);
    addRecords(records, std::vector<Item>(items.begin(), middle), makeRecord);
    addRecords(records, std::vector<Item>(middle, items.end()), makeRecord);
}

void addLaunches(std::vector<journal::Record> &records, const std::vector<journal::Launch> &launches)
{
    addRecords(records, launches, [](const std::vector<journal::Launch> &part) {
        return journal::RunsLaunched {part};
    });
}

void addEnds(std::vector<journal::Record> &records, const std::vector<journal::EndedRun> &ended, fleet::TimePoint at)
{
    addRecords(records, ended, [at](const std::vector<journal::EndedRun> &part) {
        return journal::RunsEnded {part, at};
    });
}

/// Collects the recorded changes into one batch, and remembers which runs and ends wait for it to be stored.
void recordBatch(Context &context)
{
    if (context.m_ended.empty() && context.m_launched.empty() && context.m_orderedUpkeeps.empty()) {
        releaseRecordedEnds(context);
        return;
    }
    PendingBatch batch;
    batch.m_batch = context.m_state.m_nextBatch++;
    batch.m_ends = context.m_endNumbers;
    if (!context.m_reopened.empty()) {
        addLaunches(context.m_out.m_records, context.m_reopened);
    }
    if (!context.m_ended.empty()) {
        addEnds(context.m_out.m_records, context.m_ended, context.m_now.m_wall);
    }
    if (!context.m_launched.empty()) {
        for (const journal::Launch &launched : context.m_launched) {
            batch.m_launched.push_back(launched.m_run);
        }
        addLaunches(context.m_out.m_records, context.m_launched);
    }
    context.m_out.m_records.insert(context.m_out.m_records.end(), context.m_orderedUpkeeps.begin(), context.m_orderedUpkeeps.end());
    batch.m_upkeeps = context.m_orderedUpkeeps;
    context.m_out.m_batch = batch.m_batch;
    context.m_state.m_pendingBatches.push_back(std::move(batch));
}

Outbox finish(Context &context)
{
    reconcileChanged(context);
    recordBatch(context);
    return std::move(context.m_out);
}

/// Logs runs that should have started or ended long ago.
void logOverdueRuns(Context &context)
{
    std::set<jobs::RunId> &pending = context.m_state.m_unsettledRuns;
    auto entry = pending.lower_bound(context.m_state.m_nextRunToCheck);
    for (std::size_t i = std::min(pending.size(), maxCheckedRuns); i > 0; --i) {
        entry = entry == pending.end() ? pending.begin() : entry;
        const jobs::RunId id = *entry;
        RunState &run = context.m_state.m_runs.at(id);
        const bool isUnsettled = run.m_isStopRequested || run.m_phase != RunPhase::Running;
        entry = isUnsettled ? std::next(entry) : pending.erase(entry);
        ++context.m_out.m_work.m_examinedRuns;
        const fleet::BootTime since = std::max({run.m_overdueLoggedAt, run.m_stopRequestedAt, run.m_launchedAt});
        if (!isUnsettled || context.m_now.m_boot - since < overdueTime) {
            continue;
        }
        run.m_overdueLoggedAt = context.m_now.m_boot;
        const auto worker = context.m_state.m_workers.find(run.m_incarnation.m_worker);
        const bool isKnown = worker != context.m_state.m_workers.end();
        context.m_out.m_log.push_back(logging::Line("dispatch", "overdue", logging::Level::Warning)
                                          .add("task", toString(id.m_task))
                                          .add("run", id.m_run)
                                          .add("worker", run.m_incarnation.m_worker.value())
                                          .add("phase", static_cast<int>(run.m_phase))
                                          .add("stop_wanted", run.m_isStopRequested)
                                          .add("stop_answered", run.m_stopAnswered)
                                          .add("uncertain", run.m_isStartUncertain)
                                          .add("over_there", run.m_isOverOnWorker)
                                          .add("listed", isKnown && worker->second.m_isListed)
                                          .add("silences", isKnown ? worker->second.m_unansweredCalls : 0)
                                          .add("look_in_flight", isKnown && worker->second.m_pollInFlight)
                                          .add("same_life", isKnown && worker->second.m_registration.m_incarnation == run.m_incarnation));
    }
    context.m_state.m_nextRunToCheck = entry == pending.end() ? jobs::RunId() : *entry;
}

void takeOverRuns(Context &context,
                  const journal::JobRecord &job,
                  const jobs::TaskId &task,
                  const std::string &checkpoint,
                  const journal::TaskRecord &record,
                  fleet::BootTime predecessorLeaseUntil)
{
    for (const journal::OpenRun &open : record.m_open) {
        WorkerState &worker = context.m_state.m_workers[open.m_target.m_worker];
        worker.m_registration.m_incarnation = open.m_target;
        worker.m_predecessorLeaseUntil = predecessorLeaseUntil;
        RunState run = makeRunState(context, job, task.m_step.m_step, open.m_target);
        run.m_phase = RunPhase::Starting;
        run.m_checkpoint = checkpoint;
        // The previous holder may have sent a start order that is still on its way.
        run.m_isStartUncertain = true;
        run.m_startTries = 1;
        // The worker's list of runs must be read first, since it shows whether a start is needed.
        run.m_nextStartAt = fleet::BootTime::max();
        addRun(context.m_state, {task, open.m_run}, std::move(run));
    }
}

}

Outbox takeOver(State &state, const Environment &environment, fleet::BootTime predecessorLeaseUntil, fleet::Now now)
{
    state.m_upkeepNotBefore = now.m_boot + state.m_settings.m_machineLease;
    Context context = makeContext(state, environment, now);
    for (const auto &[id, job] : environment.m_journalState.m_jobs) {
        if (!job.isOver()) {
            state.m_activeJobs.try_emplace(id, now.m_boot);
        }
        for (const auto &[number, occurrence] : job.m_occurrences) {
            jobs::StepId stepId {id, number, 0};
            for (const journal::StepRecord &step : occurrence.m_steps) {
                for (const auto &[index, record] : step.m_tasks) {
                    takeOverRuns(context, job, {stepId, index}, journal::checkpointOf(job, {stepId, index}), record, predecessorLeaseUntil);
                }
                ++stepId.m_step;
            }
        }
        context.m_changedJobs.insert(id);
    }
    return finish(context);
}

void recordFormerHoldersEnded(State &state, fleet::BootTime until)
{
    for (auto &[id, worker] : state.m_workers) {
        worker.m_predecessorLeaseUntil = std::min(worker.m_predecessorLeaseUntil, until);
    }
}

Outbox onListRead(State &state, const Environment &environment, const std::vector<workers::Registration> &registrations, fleet::Now now)
{
    Context context = makeContext(state, environment, now);
    applyWorkerList(context, registrations);
    cordonMachines(context);
    state.m_firstListAt = state.m_firstListAt.value_or(now.m_boot);
    return finish(context);
}

Outbox onPollEnded(
    State &state, const Environment &environment, const workers::PollOrder &order, fleet::BootTime sentAt, const workers::PollResult &result, fleet::Now now)
{
    Context context = makeContext(state, environment, now);
    applyPollResult(context, order, sentAt, result);
    return finish(context);
}

Outbox onStartEnded(State &state, const Environment &environment, const workers::StartOrder &order, const workers::OrderResult &result, fleet::Now now)
{
    Context context = makeContext(state, environment, now);
    applyStartResult(context, order, result);
    return finish(context);
}

Outbox onStopEnded(State &state, const Environment &environment, const workers::StopOrder &order, const workers::OrderResult &result, fleet::Now now)
{
    Context context = makeContext(state, environment, now);
    applyStopResult(context, order, result);
    return finish(context);
}

Outbox onAdviceEnded(State &state,
                     const Environment &environment,
                     const workers::AdviceQuestion &question,
                     fleet::BootTime sentAt,
                     const workers::AdviceAnswer &answer,
                     fleet::Now now)
{
    Context context = makeContext(state, environment, now);
    applyAdvice(context, question, sentAt, answer);
    return finish(context);
}

Outbox onStored(State &state, const Environment &environment, std::uint64_t batch, fleet::Now now)
{
    Context context = makeContext(state, environment, now);
    while (!state.m_pendingBatches.empty() && state.m_pendingBatches.front().m_batch <= batch) {
        applyStored(state, state.m_pendingBatches.front(), now.m_boot);
        state.m_pendingBatches.pop_front();
    }
    return finish(context);
}

Outbox onJobsChanged(State &state, const Environment &environment, const std::vector<jobs::JobId> &jobs, fleet::Now now)
{
    Context context = makeContext(state, environment, now);
    for (const jobs::JobId &id : jobs) {
        const journal::JobRecord *job = journal::findJob(environment.m_journalState, id);
        if (job != nullptr && !job->isOver()) {
            state.m_activeJobs.try_emplace(id, now.m_boot);
        }
        context.m_changedJobs.insert(id);
    }
    state.m_planIsDue = true;
    return finish(context);
}

Outbox onTick(State &state, const Environment &environment, const std::set<fleet::ZoneId> &suspectedZones, fleet::Now now)
{
    Context context = makeContext(state, environment, now);
    updateSuspectedZones(context, suspectedZones);
    probeSuspectedZones(context);
    logOverdueRuns(context);
    if (!state.m_mayRenewLeases) {
        // A successor may hold the duty by now and renew leases that this instance believes to have expired.
        return finish(context);
    }
    endExpiredRuns(context);
    if (state.m_isConfigCurrent) {
        advanceWaves(context);
    }
    stopRunsOnDepartingWorkers(context);
    stopBestEffortBesideServing(context);
    context.m_changedGangs = std::exchange(state.m_incompleteGangs, {});
    state.m_planIsDue = state.m_planIsDue || now.m_boot - state.m_plannedAt >= idlePlanInterval;
    return finish(context);
}

Outbox onUpkeepEnded(State &state, const Environment &environment, const machines::UpkeepOrder &order, machines::UpkeepOutcome outcome, fleet::Now now)
{
    Context context = makeContext(state, environment, now);
    applyUpkeepResult(context, order, outcome);
    return finish(context);
}

Outbox onWaveReported(State &state, const Environment &environment, const machines::WaveReport &report, bool isStored, fleet::Now now)
{
    Context context = makeContext(state, environment, now);
    applyReportResult(context, report, isStored);
    return finish(context);
}

Outbox runSchedulingCycle(State &state, const Environment &environment, fleet::Now now)
{
    Context context = makeContext(state, environment, now);
    if (state.m_mayRenewLeases && state.m_isConfigCurrent && state.m_planIsDue && now.m_boot >= state.m_nextPlanAt) {
        state.m_planIsDue = false;
        state.m_plannedAt = now.m_boot;
        const bool isAnyLeft = plan(context);
        state.m_nextPlanAt = now.m_boot + (isAnyLeft ? backlogPlanPause : fleet::Duration(0));
        reconcileChanged(context);
    }
    recordBatch(context);
    sendDueOrders(context);
    sendStopsOfUnansweredStarts(context);
    sendDuePolls(context);
    return std::move(context.m_out);
}

}
