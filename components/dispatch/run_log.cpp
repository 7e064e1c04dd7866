#include "components/dispatch/run_log.hpp"

#include "components/dispatch/context.hpp"
#include "components/dispatch/runs.hpp"
#include "components/workers/ended_task.hpp"
#include "components/workers/start_order.hpp"
#include "components/workers/stop_order.hpp"

#include <algorithm>

namespace dispatch
{

namespace
{

/// How long closed runs and stray runs are remembered: longer than any order may be late.
constexpr fleet::Duration memory {60'000};
/// Runs closed within this time can be many if a zone is lost; the oldest are forgotten.
constexpr std::size_t maxClosedRuns = 4096;

void appendNumber(logging::Line &line, const char *name, std::int64_t value)
{
    line.append(name, std::to_string(value));
}

const char *toText(bool value)
{
    return value ? "true" : "false";
}

void appendTime(logging::Line &line, const char *name, fleet::Duration value)
{
    appendNumber(line, name, value.count());
}

const UnansweredStart *findUnansweredStart(const State &state, const fleet::WorkerId &worker, const jobs::RunId &run)
{
    const auto starts = state.m_unansweredStarts.find(worker);
    if (starts == state.m_unansweredStarts.end()) {
        return nullptr;
    }
    const auto start = starts->second.find(run);
    return start == starts->second.end() ? nullptr : &start->second;
}

const ClosedRun *findClosedRun(const State &state, const fleet::WorkerId &worker, const jobs::RunId &run)
{
    const auto found = std::find_if(state.m_closedRuns.rbegin(), state.m_closedRuns.rend(), [&](const ClosedRun &closed) {
        return closed.m_run == run && closed.m_incarnation.m_worker == worker;
    });
    return found == state.m_closedRuns.rend() ? nullptr : &*found;
}

void rememberClosedRun(Context &context, const jobs::RunId &id, const RunState &run, RunEndProof proof)
{
    std::deque<ClosedRun> &closed = context.m_state.m_closedRuns;
    closed.push_back({id, run.m_incarnation, run.m_launchedOnMs, proof, context.m_now.m_boot});
    while (closed.size() > maxClosedRuns || context.m_now.m_boot - closed.front().m_closedAt >= memory) {
        closed.pop_front();
    }
}

/// Adds the lease end that was assumed and the reading of the worker's clock by which it has passed.
void appendLease(logging::Line &line, const WorkerState &worker, fleet::BootTime now)
{
    appendNumber(line, "lease_end_ms", worker.m_grantedLeaseEndMs);
    appendNumber(line, "clock_ms", minWorkerClock(worker, now).value_or(-1));
    appendTime(line, "clock_age_ms", worker.m_clockMs ? now - worker.m_clockAt : fleet::Duration(-1));
    line.append("token_accepted", toText(worker.m_hasAcceptedToken));
    if (!worker.m_hasAcceptedToken) {
        appendTime(line, "former_lease_over_ms", now - worker.m_predecessorLeaseUntil);
    }
}

/// What is known of a run that a worker has although it is not open there.
struct StrayFacts
{
    const ClosedRun *m_closed = nullptr;
    const UnansweredStart *m_unanswered = nullptr;
    /// Start time of the incarnation that the run was launched on; 0 if not known.
    std::int64_t m_launchedOnMs = 0;
    /// Another open run of the task; one that was ordered to start comes first.
    std::map<jobs::RunId, RunState>::const_iterator m_other;
    bool m_hasOther = false;
    /// What the journal has of the task; empty if the job is forgotten. The tasks of a job that is over may be.
    const journal::JobRecord *m_job = nullptr;
    const journal::StepRecord *m_step = nullptr;
    bool m_isTaskDone = false;
    /// Highest run number of the task; that of the step if the task has no record.
    std::uint32_t m_lastRun = 0;
};

StrayFacts factsOf(const Context &context, const fleet::WorkerId &worker, const jobs::RunId &id)
{
    const State &state = context.m_state;
    StrayFacts facts;
    facts.m_job = journal::findJob(context.m_journalState, id.m_task.m_step.m_job);
    if (facts.m_job != nullptr) {
        facts.m_step = journal::findStep(*facts.m_job, id.m_task.m_step);
        facts.m_isTaskDone = facts.m_step != nullptr && facts.m_step->isDone(id.m_task.m_index);
        const journal::TaskRecord *task = journal::findTask(*facts.m_job, id.m_task);
        const std::uint32_t lastOfStep = facts.m_step == nullptr ? 0 : facts.m_step->m_lastRun;
        facts.m_lastRun = task == nullptr ? lastOfStep : task->m_lastRun;
    }
    facts.m_closed = findClosedRun(state, worker, id);
    facts.m_unanswered = findUnansweredStart(state, worker, id);
    if (facts.m_closed != nullptr) {
        facts.m_launchedOnMs = facts.m_closed->m_launchedOnMs;
    } else if (facts.m_unanswered != nullptr) {
        facts.m_launchedOnMs = facts.m_unanswered->m_target.m_startedAtMs;
    }
    for (auto run = state.m_runs.lower_bound({id.m_task, 0}); run != state.m_runs.end() && run->first.m_task == id.m_task; ++run) {
        if (!facts.m_hasOther || run->second.m_startTries > 0) {
            facts.m_other = run;
            facts.m_hasOther = true;
        }
    }
    return facts;
}

const char *restartedSinceLaunch(const StrayFacts &facts, const workers::WorkerIncarnation &incarnation)
{
    if (facts.m_launchedOnMs == 0) {
        return "unknown";
    }
    return toText(incarnation.m_startedAtMs > facts.m_launchedOnMs);
}

const char *taskState(const StrayFacts &facts)
{
    if (facts.m_isTaskDone) {
        return "done";
    }
    if (facts.m_job != nullptr && facts.m_job->isOver()) {
        return "job-over";
    }
    return facts.m_step == nullptr ? "unknown" : "not-done";
}

const char *nameOf(RunPhase phase)
{
    switch (phase) {
    case RunPhase::Recording:
        return "recording";
    case RunPhase::Starting:
        return "starting";
    case RunPhase::Running:
        return "running";
    }
    return "";
}

void appendFacts(logging::Line &line, const StrayFacts &facts, const workers::WorkerIncarnation &incarnation, fleet::BootTime now)
{
    appendNumber(line, "born", incarnation.m_startedAtMs);
    appendNumber(line, "launched_born", facts.m_launchedOnMs);
    line.append("restarted", restartedSinceLaunch(facts, incarnation));
    line.append("closed", facts.m_closed == nullptr ? "unknown" : nameOf(facts.m_closed->m_proof));
    if (facts.m_closed != nullptr) {
        appendTime(line, "closed_ms", now - facts.m_closed->m_closedAt);
        appendNumber(line, "closed_born", facts.m_closed->m_incarnation.m_startedAtMs);
    }
    line.append("unanswered_start", toText(facts.m_unanswered != nullptr));
    if (facts.m_unanswered != nullptr) {
        appendTime(line, "start_sent_ms", now - facts.m_unanswered->m_sentAt);
    }
    line.append("task_state", taskState(facts));
    appendNumber(line, "last_run", facts.m_lastRun);
    appendNumber(line, "other_run", facts.m_hasOther ? facts.m_other->first.m_run : 0);
    if (facts.m_hasOther) {
        const RunState &other = facts.m_other->second;
        line.append("other_worker", other.m_incarnation.m_worker.value());
        appendNumber(line, "other_born", other.m_incarnation.m_startedAtMs);
        line.append("other_phase", nameOf(other.m_phase));
        appendTime(line, "other_launched_ms", now - other.m_launchedAt);
        appendTime(line, "other_ran_ms", ranFor(other, now));
    }
}

/// Returns the entry of the run, which is counted with its first report by this incarnation.
ReportedStray &reportedStray(Context &context, const workers::WorkerIncarnation &incarnation, const jobs::RunId &id)
{
    std::map<jobs::RunId, ReportedStray> &strays = context.m_state.m_reportedStrays;
    const auto known = strays.find(id);
    if (known == strays.end() || known->second.m_incarnation != incarnation) {
        std::erase_if(strays, [&](const auto &entry) {
            return context.m_now.m_boot - entry.second.m_seenAt >= memory;
        });
        strays[id] = {incarnation, {}, std::nullopt};
        ++context.m_out.m_counts.m_strayRuns;
    }
    ReportedStray &stray = strays.at(id);
    stray.m_seenAt = context.m_now.m_boot;
    return stray;
}

}

void logRunEnd(Context &context, const jobs::RunId &id, const RunState &run, jobs::RunEnd end, RunEndProof proof)
{
    const fleet::BootTime now = context.m_now.m_boot;
    const fleet::WorkerId &workerId = run.m_incarnation.m_worker;
    const UnansweredStart *unanswered = findUnansweredStart(context.m_state, workerId, id);
    logging::Line line = logging::Line("dispatch", "run-end")
                             .add("task", toString(id.m_task))
                             .add("run", id.m_run)
                             .add("worker", workerId.value())
                             .add("how", jobs::nameOf(end))
                             .add("percent", run.m_percent)
                             .add("ran_ms", ranFor(run, now))
                             .add("proof", nameOf(proof))
                             .add("born", run.m_incarnation.m_startedAtMs)
                             .add("launched_born", run.m_launchedOnMs)
                             .add("tries", run.m_startTries)
                             .add("start_uncertain", run.m_isStartUncertain)
                             .add("unanswered_start", run.m_hasUnansweredStart);
    if (unanswered != nullptr) {
        appendTime(line, "start_sent_ms", now - unanswered->m_sentAt);
    }
    const auto worker = context.m_state.m_workers.find(workerId);
    if (proof == RunEndProof::LeaseOver && worker != context.m_state.m_workers.end()) {
        appendLease(line, worker->second, now);
    }
    context.m_out.m_log.push_back(std::move(line));
    if (proof != RunEndProof::ReportedByWorker) {
        ++context.m_out.m_counts.m_givenUp[proof];
    }
    if (proof != RunEndProof::ReportedByWorker || unanswered != nullptr) {
        rememberClosedRun(context, id, run, proof);
    }
}

void logRestart(Context &context, const WorkerState &worker, const workers::WorkerIncarnation &restarted, const char *learnedFrom)
{
    const auto unansweredRuns = std::count_if(worker.m_runs.begin(), worker.m_runs.end(), [&](const jobs::RunId &id) {
        const RunState &run = context.m_state.m_runs.at(id);
        return run.m_hasUnansweredStart || run.m_isStartUncertain || run.m_startInFlight;
    });
    const auto starts = context.m_state.m_unansweredStarts.find(restarted.m_worker);
    std::ptrdiff_t unansweredClosed = 0;
    if (starts != context.m_state.m_unansweredStarts.end()) {
        unansweredClosed = std::count_if(starts->second.begin(), starts->second.end(), [&](const auto &entry) {
            return !worker.m_runs.contains(entry.first);
        });
    }
    ++context.m_out.m_counts.m_workerRestarts;
    context.m_out.m_log.push_back(logging::Line("dispatch", "worker-restarted")
                                      .add("worker", restarted.m_worker.value())
                                      .add("born_before", worker.m_registration.m_incarnation.m_startedAtMs)
                                      .add("born", restarted.m_startedAtMs)
                                      .add("learned", learnedFrom)
                                      .add("answered_ms", context.m_now.m_boot - worker.m_lastAnswerAt)
                                      .add("runs", worker.m_runs.size())
                                      .add("runs_unanswered", unansweredRuns)
                                      .add("closed_unanswered", unansweredClosed));
}

void logStrayRun(Context &context, const workers::WorkerIncarnation &incarnation, const jobs::RunId &id)
{
    const fleet::BootTime now = context.m_now.m_boot;
    const StrayFacts facts = factsOf(context, incarnation.m_worker, id);
    const auto makeLine = [&](const char *event) {
        logging::Line line = logging::Line("dispatch", event, logging::Level::Warning)
                                 .add("task", toString(id.m_task))
                                 .add("run", id.m_run)
                                 .add("worker", incarnation.m_worker.value());
        appendFacts(line, facts, incarnation, now);
        return line;
    };
    context.m_out.m_log.push_back(makeLine("stray-run"));
    ReportedStray &stray = reportedStray(context, incarnation, id);
    const bool isOtherOrdered = facts.m_hasOther && facts.m_other->second.m_startTries > 0;
    if (isOtherOrdered && stray.m_other != facts.m_other->first) {
        stray.m_other = facts.m_other->first;
        ++context.m_out.m_counts.m_twoRuns;
        context.m_out.m_log.push_back(makeLine("two-runs"));
    }
}

void logEndAfterClose(Context &context, const workers::WorkerIncarnation &incarnation, const workers::EndedTask &ended)
{
    const StrayFacts facts = factsOf(context, incarnation.m_worker, ended.m_run);
    logging::Line line = logging::Line("dispatch", "end-after-close")
                             .add("task", toString(ended.m_run.m_task))
                             .add("run", ended.m_run.m_run)
                             .add("worker", incarnation.m_worker.value())
                             .add("how", jobs::nameOf(ended.m_end));
    appendFacts(line, facts, incarnation, context.m_now.m_boot);
    context.m_out.m_log.push_back(std::move(line));
}

void logUnansweredStart(Context &context, const workers::StartOrder &order, const UnansweredStart &start)
{
    const RunState *run = findRun(context, order.m_run);
    context.m_out.m_log.push_back(logging::Line("dispatch", "start-unanswered")
                                      .add("task", toString(order.m_run.m_task))
                                      .add("run", order.m_run.m_run)
                                      .add("worker", order.m_target.m_worker.value())
                                      .add("born", order.m_target.m_startedAtMs)
                                      .add("try", run == nullptr ? 0 : run->m_startTries)
                                      .add("token", order.m_token.m_value)
                                      .add("lease_end_ms", order.m_leaseUntilMs)
                                      .add("start_sent_ms", context.m_now.m_boot - start.m_sentAt)
                                      .add("open", run != nullptr));
}

void logStopOfLateStart(Context &context, const workers::StopOrder &stop, const UnansweredStart &start, const char *state)
{
    context.m_out.m_log.push_back(logging::Line("dispatch", "late-start-stop")
                                      .add("task", toString(stop.m_run.m_task))
                                      .add("run", stop.m_run.m_run)
                                      .add("worker", stop.m_target.m_worker.value())
                                      .add("born", stop.m_target.m_startedAtMs)
                                      .add("launched_born", start.m_target.m_startedAtMs)
                                      .add("state", state)
                                      .add("start_sent_ms", context.m_now.m_boot - start.m_sentAt));
}

}
