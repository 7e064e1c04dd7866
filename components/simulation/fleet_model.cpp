#include "components/simulation/fleet_model.hpp"

#include <algorithm>
#include <charconv>

namespace simulation
{

namespace
{

constexpr fleet::Duration failureDelay {60};
constexpr int clockRateUnit = 1000;
constexpr int fullPercent = 100;

std::string makeCheckpoint(fleet::Duration progress)
{
    return "p" + std::to_string(progress.count());
}

fleet::Duration readCheckpoint(const std::string &checkpoint)
{
    std::int64_t progress = 0;
    if (checkpoint.size() > 1) {
        std::from_chars(checkpoint.data() + 1, checkpoint.data() + checkpoint.size(), progress);
    }
    return fleet::Duration(progress);
}

fleet::Duration progressOf(const ModelWorker &worker, const ModelRun &run, fleet::BootTime now)
{
    const bool makesProgress = run.m_isWorking && !worker.m_isHung;
    return run.m_resumedProgress + (makesProgress ? (now - run.m_workingSince) / worker.m_slowness : fleet::Duration(0));
}

std::string latestCheckpoint(const FleetModel &fleet, const ModelWorker &worker, const ModelRun &run, fleet::BootTime now)
{
    if (!run.m_step.m_writesCheckpoints) {
        return {};
    }
    const fleet::Duration progress = progressOf(worker, run, now);
    return makeCheckpoint(progress / fleet.m_checkpointInterval * fleet.m_checkpointInterval);
}

/// Takes the id by value, since a reference could be to the map key that is erased here.
void endRun(FleetModel &fleet, ModelWorker &worker, jobs::RunId id, jobs::RunEnd how, fleet::BootTime now)
{
    const auto found = worker.m_running.find(id);
    if (found == worker.m_running.end()) {
        return;
    }
    std::string checkpoint;
    if (found->second.m_step.m_writesCheckpoints && how == jobs::RunEnd::Stopped) {
        checkpoint = makeCheckpoint(progressOf(worker, found->second, now));
    } else if (how != jobs::RunEnd::Done) {
        checkpoint = latestCheckpoint(fleet, worker, found->second, now);
    }
    worker.m_running.erase(found);
    worker.m_ended.push_back({++worker.m_lastEndNumber, id, how, checkpoint});
    std::uint32_t &closed = worker.m_highestClosedRuns[id.m_task];
    closed = std::max(closed, id.m_run);
    for (RunRecord &entry : fleet.m_history) {
        if (entry.m_run == id && entry.m_incarnation == worker.m_registration.m_incarnation && entry.m_endedAt == fleet::BootTime::max()) {
            entry.m_endedAt = now;
            entry.m_endReason = jobs::nameOf(how);
        }
    }
}

void endRunsWithExpiredLease(FleetModel &fleet, ModelWorker &worker, fleet::BootTime now)
{
    if (clockReading(worker, now) < worker.m_leaseUntilMs) {
        return;
    }
    while (!worker.m_running.empty()) {
        endRun(fleet, worker, worker.m_running.begin()->first, jobs::RunEnd::LeaseExpired, now);
    }
    worker.m_lastExpiredEnd = worker.m_lastEndNumber;
}

/// Present members of one run of a gang, with their workers.
using Members = std::vector<std::pair<ModelWorker *, jobs::RunId>>;

Members membersOf(FleetModel &fleet, const jobs::StepId &step, std::uint32_t run)
{
    Members members;
    for (auto &[id, worker] : fleet.m_workers) {
        const auto first = worker.m_running.lower_bound({{step, 0}, 0});
        for (auto member = first; member != worker.m_running.end() && member->first.m_task.m_step == step; ++member) {
            if (member->first.m_run == run) {
                members.emplace_back(&worker, member->first);
            }
        }
    }
    return members;
}

void updateGang(FleetModel &fleet, const jobs::StepId &step, const Members &members, fleet::BootTime now)
{
    const bool isComplete = members.size() == fleet.m_steps.at(step.m_job)[step.m_step].m_tasks;
    const bool wasWorking = std::any_of(members.begin(), members.end(), [](const auto &member) {
        return member.first->m_running.at(member.second).m_isWorking;
    });
    for (const auto &[worker, id] : members) {
        ModelRun &state = worker->m_running.at(id);
        if (isComplete && !wasWorking) {
            state.m_isWorking = true;
            state.m_workingSince = now;
        } else if (!isComplete && wasWorking) {
            endRun(fleet, *worker, id, jobs::RunEnd::GangBroken, now);
        } else if (!isComplete && now - state.m_acceptedAt >= fleet.m_gangWait) {
            endRun(fleet, *worker, id, jobs::RunEnd::GangIncomplete, now);
        }
    }
}

bool isDone(const ModelWorker &worker, const ModelRun &run, fleet::BootTime now)
{
    return run.m_isWorking && !run.m_step.m_isLongRunning && !run.m_behaviour.m_alwaysFails && progressOf(worker, run, now) >= run.m_behaviour.m_duration;
}

bool isFailed(const ModelWorker &worker, const ModelRun &run, fleet::BootTime now)
{
    if (worker.m_failsEverything) {
        return now - run.m_acceptedAt >= failureDelay;
    }
    return run.m_behaviour.m_alwaysFails && run.m_isWorking && progressOf(worker, run, now) >= run.m_behaviour.m_duration;
}

/// Ends the first run that is due; a gang that is done ends as a whole. Returns true if a run ended, so that the caller repeats
/// the pass (the removal invalidates the iteration).
bool endNextDueRun(FleetModel &fleet, ModelWorker &worker, fleet::BootTime now)
{
    for (const auto &[id, run] : worker.m_running) {
        if (run.m_isStopping && now >= run.m_stopsAt) {
            endRun(fleet, worker, id, jobs::RunEnd::Stopped, now);
            return true;
        }
        if (isFailed(worker, run, now)) {
            endRun(fleet, worker, id, jobs::RunEnd::Failed, now);
            return true;
        }
        if (isDone(worker, run, now)) {
            const jobs::RunId done = id;
            const bool isGang = run.m_step.m_isGang;
            if (!isGang) {
                endRun(fleet, worker, done, jobs::RunEnd::Done, now);
                return true;
            }
            for (const auto &[member, memberId] : membersOf(fleet, done.m_task.m_step, done.m_run)) {
                endRun(fleet, *member, memberId, jobs::RunEnd::Done, now);
            }
            return true;
        }
    }
    return false;
}

/// Returns the present members of all gangs, by step and run number.
std::map<std::pair<jobs::StepId, std::uint32_t>, Members> runningGangs(FleetModel &fleet)
{
    std::map<std::pair<jobs::StepId, std::uint32_t>, Members> gangs;
    for (auto &[id, worker] : fleet.m_workers) {
        for (const auto &[run, state] : worker.m_running) {
            if (state.m_step.m_isGang) {
                gangs[{run.m_task.m_step, run.m_run}].emplace_back(&worker, run);
            }
        }
    }
    return gangs;
}

workers::OrderResult orderResult(const ModelWorker &worker, workers::OrderOutcome outcome, fleet::BootTime now)
{
    return {outcome, clockReading(worker, now), {}};
}

fleet::Resources usedResources(const ModelWorker &worker)
{
    fleet::Resources used;
    for (const auto &[id, run] : worker.m_running) {
        fleet::Resources need = run.m_step.m_perTask;
        need.m_milliCores = run.m_step.m_usesIdleProcessor ? 0 : need.m_milliCores;
        used = used + need;
    }
    return used;
}

/// Returns what all running tasks of the account ask for.
fleet::Resources useOf(const FleetModel &fleet, const fleet::AccountId &account)
{
    fleet::Resources use;
    for (const auto &[id, worker] : fleet.m_workers) {
        for (const auto &[run, state] : worker.m_running) {
            const auto owner = fleet.m_accounts.find(run.m_task.m_step.m_job);
            use = owner != fleet.m_accounts.end() && owner->second == account ? use + state.m_step.m_perTask : use;
        }
    }
    return use;
}

/// Checks the use of an account after a start against the highest maximum that may be in force.
void checkMaximum(FleetModel &fleet, const jobs::RunId &id, fleet::BootTime now)
{
    const auto account = fleet.m_accounts.find(id.m_task.m_step.m_job);
    if (account == fleet.m_accounts.end()) {
        return;
    }
    const fleet::Resources use = useOf(fleet, account->second);
    fleet::Resources &peak = fleet.m_peakUse[account->second];
    peak = {std::max(peak.m_milliCores, use.m_milliCores), std::max(peak.m_memoryMb, use.m_memoryMb), std::max(peak.m_accelerators, use.m_accelerators)};
    const std::vector<PublishedMaximum> &maxima = fleet.m_maxima[account->second];
    const auto isWithin = [&](std::int64_t fleet::Resources::*resource) {
        for (std::size_t i = 0; i < maxima.size(); ++i) {
            const bool mayBeInForce = i + 1 == maxima.size() || now - maxima[i + 1].m_publishedAt < fleet.m_catalogInForce;
            const std::int64_t maximum = maxima[i].m_maximum.*resource;
            if (mayBeInForce && (maximum == 0 || use.*resource <= maximum)) {
                return true;
            }
        }
        return maxima.empty();
    };
    if (!isWithin(&fleet::Resources::m_milliCores) || !isWithin(&fleet::Resources::m_memoryMb) || !isWithin(&fleet::Resources::m_accelerators)) {
        fleet.m_violations.push_back("start of " + toString(id.m_task) + " above the maximum of " + account->second.value() + " at "
                                     + std::to_string(now.time_since_epoch().count()));
    }
}

void checkStart(FleetModel &fleet, const jobs::RunId &id, fleet::BootTime now)
{
    const jobs::StepSpec &step = fleet.m_steps.at(id.m_task.m_step.m_job)[id.m_task.m_step.m_step];
    for (const RunRecord &entry : fleet.m_history) {
        if (entry.m_run.m_task != id.m_task || step.m_allowsSpeculativeRuns) {
            continue;
        }
        if (entry.m_endedAt == fleet::BootTime::max()) {
            fleet.m_violations.push_back("two runs of " + toString(id.m_task) + " at " + std::to_string(now.time_since_epoch().count()));
        }
    }
    if (fleet.m_acknowledgedDone.contains(id.m_task) && !step.m_allowsSpeculativeRuns) {
        fleet.m_violations.push_back("start of " + toString(id.m_task) + " after its end as done was acknowledged");
    }
    for (const std::uint16_t earlier : step.m_dependsOn) {
        const std::uint16_t tasks = fleet.m_steps.at(id.m_task.m_step.m_job)[earlier].m_tasks;
        for (std::uint16_t i = 0; i < tasks; ++i) {
            const jobs::StepId before {id.m_task.m_step.m_job, id.m_task.m_step.m_occurrence, earlier};
            const bool isGang = fleet.m_steps.at(before.m_job)[earlier].m_isGang;
            const bool isDone = std::any_of(fleet.m_history.begin(), fleet.m_history.end(), [&](const RunRecord &entry) {
                return entry.m_run.m_task.m_step == before && (isGang || entry.m_run.m_task.m_index == i) && entry.m_endReason == "done";
            });
            if (!isDone) {
                fleet.m_violations.push_back("start of " + toString(id.m_task) + " before step " + std::to_string(earlier) + " was done");
            }
        }
    }
}

/// Records an end that the holder has taken note of, which no run of the task may have followed.
void recordAcknowledgedEnd(FleetModel &fleet, const ModelWorker &worker, const workers::EndedTask &ended)
{
    const jobs::TaskId &task = ended.m_run.m_task;
    const jobs::StepSpec &step = fleet.m_steps.at(task.m_step.m_job)[task.m_step.m_step];
    if (ended.m_end != jobs::RunEnd::Done || ended.m_number <= worker.m_lastExpiredEnd || step.m_allowsSpeculativeRuns) {
        return;
    }
    fleet.m_acknowledgedDone.insert(task);
    const auto ofTask = [&](const RunRecord &run) {
        return run.m_run.m_task == task;
    };
    const auto done = std::find_if(fleet.m_history.begin(), fleet.m_history.end(), [&](const RunRecord &run) {
        return run.m_run == ended.m_run && run.m_incarnation == worker.m_registration.m_incarnation;
    });
    if (done != fleet.m_history.end() && std::any_of(std::next(done), fleet.m_history.end(), ofTask)) {
        fleet.m_violations.push_back("start of " + toString(task) + " after an end as done that was acknowledged later");
    }
}

void extendLease(const FleetModel &fleet, ModelWorker &worker, std::int64_t untilMs, fleet::BootTime now)
{
    const std::int64_t most = clockReading(worker, now) + fleet.m_leaseLimit.count();
    worker.m_leaseUntilMs = std::max(worker.m_leaseUntilMs, std::min(untilMs, most));
}

}

std::int64_t clockReading(const ModelWorker &worker, fleet::BootTime now)
{
    return worker.m_clockBase + now.time_since_epoch().count() * worker.m_clockRate / clockRateUnit;
}

std::string ticketFor(const FleetModel &fleet, const jobs::StepId &step, const fleet::WorkerId &worker)
{
    return fleet.m_permittedWorkers.contains(worker) ? "ticket-" + toString(step.m_job) + '-' + worker.value() : "none";
}

workers::AdviceAnswer advise(const FleetModel &fleet, const workers::AdviceQuestion &question)
{
    workers::AdviceAnswer answer;
    answer.m_isAnswered = true;
    answer.m_validFor = fleet.m_ticketValidity;
    for (const fleet::WorkerId &worker : question.m_workers) {
        if (fleet.m_permittedWorkers.contains(worker)) {
            answer.m_tickets.emplace(worker, ticketFor(fleet, question.m_step, worker));
        }
    }
    return answer;
}

void advance(FleetModel &fleet, fleet::BootTime now)
{
    for (auto &[id, worker] : fleet.m_workers) {
        endRunsWithExpiredLease(fleet, worker, now);
        while (endNextDueRun(fleet, worker, now)) {}
    }
    for (const auto &[gang, members] : runningGangs(fleet)) {
        updateGang(fleet, gang.first, members, now);
    }
}

workers::OrderResult start(FleetModel &fleet, const workers::StartOrder &order, fleet::BootTime now)
{
    ModelWorker &worker = fleet.m_workers.at(order.m_target.m_worker);
    if (order.m_token < worker.m_fencingToken) {
        return orderResult(worker, workers::OrderOutcome::Fenced, now);
    }
    worker.m_fencingToken = order.m_token;
    if (order.m_leaseUntilMs <= clockReading(worker, now)) {
        return orderResult(worker, workers::OrderOutcome::LeaseExpired, now);
    }
    if (worker.m_running.contains(order.m_run)) {
        return orderResult(worker, workers::OrderOutcome::Done, now);
    }
    extendLease(fleet, worker, order.m_leaseUntilMs, now);
    const auto closed = worker.m_highestClosedRuns.find(order.m_run.m_task);
    if (closed != worker.m_highestClosedRuns.end() && order.m_run.m_run <= closed->second) {
        return orderResult(worker, workers::OrderOutcome::RunIsOver, now);
    }
    const jobs::JobId job = order.m_run.m_task.m_step.m_job;
    const auto steps = fleet.m_steps.find(job);
    if (steps == fleet.m_steps.end()) {
        fleet.m_violations.push_back("start of a job that was not submitted: " + toString(order.m_run.m_task));
        return orderResult(worker, workers::OrderOutcome::Malformed, now);
    }
    if (fleet.m_jobsNeedingTicket.contains(job)
        && order.m_ticket != ticketFor(fleet, order.m_run.m_task.m_step, worker.m_registration.m_incarnation.m_worker)) {
        return orderResult(worker, workers::OrderOutcome::BadTicket, now);
    }
    ModelRun run;
    run.m_step = steps->second[order.m_run.m_task.m_step.m_step];
    fleet::Resources need = run.m_step.m_perTask;
    need.m_milliCores = run.m_step.m_usesIdleProcessor ? 0 : need.m_milliCores;
    if (!(usedResources(worker) + need).fitsIn(worker.m_registration.m_capacity)) {
        return orderResult(worker, workers::OrderOutcome::NoCapacity, now);
    }
    checkStart(fleet, order.m_run, now);
    run.m_acceptedAt = now;
    run.m_workingSince = now;
    run.m_isWorking = !run.m_step.m_isGang;
    run.m_resumedProgress = readCheckpoint(order.m_checkpoint);
    run.m_behaviour = fleet.m_behaviours[job];
    if (run.m_step.m_isGang) {
        for (const auto &[member, id] : membersOf(fleet, order.m_run.m_task.m_step, order.m_run.m_run)) {
            if (member->m_running.at(id).m_resumedProgress != run.m_resumedProgress) {
                fleet.m_violations.push_back("members of one gang resumed from different checkpoints: " + toString(order.m_run.m_task));
            }
        }
    }
    worker.m_running[order.m_run] = run;
    checkMaximum(fleet, order.m_run, now);
    fleet.m_history.push_back({order.m_run, worker.m_registration.m_incarnation, now, fleet::BootTime::max(), {}});
    return orderResult(worker, workers::OrderOutcome::Done, now);
}

workers::OrderResult stop(FleetModel &fleet, const workers::StopOrder &order, fleet::BootTime now)
{
    ModelWorker &worker = fleet.m_workers.at(order.m_target.m_worker);
    if (order.m_token < worker.m_fencingToken) {
        return orderResult(worker, workers::OrderOutcome::Fenced, now);
    }
    worker.m_fencingToken = order.m_token;
    const auto run = worker.m_running.find(order.m_run);
    if (run == worker.m_running.end()) {
        std::uint32_t &closed = worker.m_highestClosedRuns[order.m_run.m_task];
        closed = std::max(closed, order.m_run.m_run);
    } else if (!run->second.m_isStopping) {
        run->second.m_isStopping = true;
        run->second.m_stopsAt = now + fleet.m_stopGrace / 2;
    }
    return orderResult(worker, workers::OrderOutcome::Done, now);
}

workers::PollResult poll(FleetModel &fleet, const workers::PollOrder &order, fleet::BootTime now)
{
    ModelWorker &worker = fleet.m_workers.at(order.m_target.m_worker);
    workers::PollResult result;
    result.m_clockMs = clockReading(worker, now);
    result.m_startedAtMs = worker.m_registration.m_incarnation.m_startedAtMs;
    if (order.m_token < worker.m_fencingToken) {
        result.m_outcome = workers::PollOutcome::Fenced;
        return result;
    }
    worker.m_fencingToken = order.m_token;
    if (order.m_acknowledgedUpTo > 0) {
        fleet.m_repeatedAcknowledgements += order.m_acknowledgedUpTo <= worker.m_endsAcknowledged ? 1 : 0;
        worker.m_endsAcknowledged = std::max(worker.m_endsAcknowledged, order.m_acknowledgedUpTo);
    }
    for (const workers::EndedTask &ended : worker.m_ended) {
        if (ended.m_number <= order.m_acknowledgedUpTo) {
            recordAcknowledgedEnd(fleet, worker, ended);
        }
    }
    if (order.m_leaseUntilMs) {
        extendLease(fleet, worker, *order.m_leaseUntilMs, now);
    }
    result.m_outcome = workers::PollOutcome::Answered;
    std::erase_if(worker.m_ended, [&](const workers::EndedTask &task) {
        return task.m_number <= order.m_acknowledgedUpTo;
    });
    result.m_ended = worker.m_ended;
    const bool hasBestEffort = std::any_of(worker.m_running.begin(), worker.m_running.end(), [](const auto &entry) {
        return entry.second.m_step.m_usesIdleProcessor;
    });
    for (const auto &[id, run] : worker.m_running) {
        const std::int64_t tail = hasBestEffort ? fleet.m_tailBesideBestEffort : fleet.m_tailAlone;
        const fleet::Duration progress = progressOf(worker, run, now);
        const int percent = run.m_step.m_isLongRunning
            ? fullPercent
            : static_cast<int>(
                std::min<std::int64_t>(fullPercent, progress.count() * fullPercent / std::max<std::int64_t>(1, run.m_behaviour.m_duration.count())));
        result.m_running.push_back({id, latestCheckpoint(fleet, worker, run, now), percent, run.m_step.m_tailLatencyObjective.count() > 0 ? tail : -1});
    }
    return result;
}

void crash(FleetModel &fleet, const fleet::WorkerId &id, bool restarts, fleet::BootTime now)
{
    ModelWorker &worker = fleet.m_workers.at(id);
    for (RunRecord &entry : fleet.m_history) {
        if (entry.m_incarnation == worker.m_registration.m_incarnation && entry.m_endedAt == fleet::BootTime::max()) {
            entry.m_endedAt = now;
            entry.m_endReason = "crashed";
        }
    }
    ModelWorker restarted;
    restarted.m_registration = worker.m_registration;
    restarted.m_registration.m_incarnation.m_startedAtMs += 1 + now.time_since_epoch().count();
    restarted.m_clockRate = worker.m_clockRate;
    // The clock starts anew.
    restarted.m_clockBase = -(now.time_since_epoch().count() * worker.m_clockRate / clockRateUnit);
    restarted.m_isUp = restarts;
    worker = restarted;
}

}
