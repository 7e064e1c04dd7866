#include "components/standin/worker_state.hpp"

#include <algorithm>

namespace standin
{

using scheduler::CommandKind;
using scheduler::TaskPhase;
using scheduler::TaskRef;

namespace
{

/// Factor by which throttling lengthens a task's run time.
constexpr int throttleFactor = 2;
/// Run time after which a failing task fails at the latest.
constexpr fleet::Duration maxRunTimeOfFailingTask {500};

bool isLive(const TaskLease &lease)
{
    return lease.m_phase == TaskPhase::Reserved || lease.m_phase == TaskPhase::Running;
}

void setPhase(WorkerState &state, const TaskRef &task, TaskLease &lease, TaskPhase phase, fleet::TimePoint at)
{
    lease.m_phase = phase;
    state.m_history.push_back({at, task, phase});
}

fleet::Duration remainingRun(const TaskLease &lease)
{
    const auto attemptRunTime = lease.m_totalRunTime - lease.m_resumedFrom;
    const auto actualRunTime = lease.m_willFail ? std::min(attemptRunTime, maxRunTimeOfFailingTask) : attemptRunTime;
    return std::max(actualRunTime - lease.m_ran, fleet::Duration(0));
}

fleet::TimePoint runEndTime(const TaskLease &lease)
{
    return lease.m_updatedAt + remainingRun(lease) * (lease.m_throttled ? throttleFactor : 1);
}

void run(TaskLease &lease, fleet::TimePoint until)
{
    const auto passed = std::max(until - lease.m_updatedAt, fleet::Duration(0));
    lease.m_ran += lease.m_throttled ? passed / throttleFactor : passed;
    lease.m_updatedAt = std::max(until, lease.m_updatedAt);
}

void advanceTask(WorkerState &state, const TaskRef &task, TaskLease &lease, fleet::TimePoint now)
{
    const bool running = lease.m_phase == TaskPhase::Running;
    const bool endsBeforeLease = running && runEndTime(lease) <= lease.m_leaseUntil;
    const auto endTime = endsBeforeLease ? runEndTime(lease) : lease.m_leaseUntil;
    if (running) {
        run(lease, std::min(endTime, now));
    }
    if (endTime > now) {
        return;
    }
    const auto ended = lease.m_willFail ? TaskPhase::Failed : TaskPhase::Succeeded;
    setPhase(state, task, lease, endsBeforeLease ? ended : TaskPhase::LeaseExpired, endTime);
}

void reserve(WorkerState &state, const scheduler::WorkerCommand &command, fleet::TimePoint now)
{
    const auto [entry, isNew] = state.m_tasks.try_emplace(command.m_task);
    auto &lease = entry->second;
    if (!isNew) {
        if (lease.m_phase == TaskPhase::Reserved) {
            lease.m_leaseUntil = now + command.m_leaseLength;
        }
        return;
    }
    lease.m_phase = TaskPhase::Refused;
    lease.m_updatedAt = now;
    const bool fits = (usedResources(state) + command.m_resources).fitsIn(state.m_info.m_capacity);
    const bool accepted = fits && !state.m_leaving;
    lease.m_resources = command.m_resources;
    lease.m_leaseUntil = now + command.m_leaseLength;
    setPhase(state, command.m_task, lease, accepted ? TaskPhase::Reserved : TaskPhase::Refused, now);
}

void start(WorkerState &state, const platform::TaskCommand &item, fleet::TimePoint now)
{
    const auto &command = item.m_command;
    const auto [entry, isNew] = state.m_tasks.try_emplace(command.m_task);
    auto &lease = entry->second;
    if (isNew) {
        setPhase(state, command.m_task, lease, TaskPhase::Refused, now);
        return;
    }
    if (lease.m_phase != TaskPhase::Reserved) {
        return;
    }
    lease.m_totalRunTime = item.m_standInRunTime.count() > 0 ? item.m_standInRunTime : state.m_defaultRunTime;
    lease.m_resumedFrom = std::min(command.m_resumeFrom, lease.m_totalRunTime);
    lease.m_checkpointed = lease.m_resumedFrom;
    lease.m_willFail = state.m_failsTasks;
    lease.m_updatedAt = now;
    lease.m_leaseUntil = now + command.m_leaseLength;
    setPhase(state, command.m_task, lease, TaskPhase::Running, now);
}

void stop(WorkerState &state, const TaskRef &task, fleet::TimePoint now)
{
    // An unknown task is recorded as stopped, so that a reservation that arrives later does not start it.
    const auto [entry, isNew] = state.m_tasks.try_emplace(task);
    if (isNew || isLive(entry->second)) {
        setPhase(state, task, entry->second, TaskPhase::Stopped, now);
    }
}

void applyToLive(TaskLease &lease, const scheduler::WorkerCommand &command, fleet::TimePoint now)
{
    const bool running = lease.m_phase == TaskPhase::Running;
    if (command.m_kind == CommandKind::Renew) {
        lease.m_leaseUntil = now + command.m_leaseLength;
    } else if (command.m_kind == CommandKind::Checkpoint && running) {
        lease.m_checkpointed = lease.m_resumedFrom + lease.m_ran;
    } else if (command.m_kind == CommandKind::Throttle) {
        lease.m_throttled = true;
    } else if (command.m_kind == CommandKind::Unthrottle) {
        lease.m_throttled = false;
    }
}

void applyOne(WorkerState &state, const platform::TaskCommand &item, fleet::TimePoint now)
{
    const auto &command = item.m_command;
    if (command.m_kind == CommandKind::Reserve) {
        reserve(state, command, now);
        return;
    }
    if (command.m_kind == CommandKind::Start) {
        start(state, item, now);
        return;
    }
    if (command.m_kind == CommandKind::Stop) {
        stop(state, command.m_task, now);
        return;
    }
    const auto found = state.m_tasks.find(command.m_task);
    if (found == state.m_tasks.end()) {
        return;
    }
    if (isLive(found->second)) {
        applyToLive(found->second, command, now);
    } else if (command.m_kind == CommandKind::Forget) {
        state.m_tasks.erase(found);
    }
}

std::vector<scheduler::TaskStatus> statuses(const WorkerState &state)
{
    std::vector<scheduler::TaskStatus> statuses;
    for (const auto &[task, lease] : state.m_tasks) {
        statuses.push_back({task, lease.m_phase, lease.m_checkpointed, lease.m_ran});
    }
    return statuses;
}

}

void advance(WorkerState &state, fleet::TimePoint now)
{
    for (auto &[task, lease] : state.m_tasks) {
        if (isLive(lease)) {
            advanceTask(state, task, lease, now);
        }
    }
}

platform::CommandResult apply(WorkerState &state, const platform::CommandMessage &message, fleet::TimePoint now)
{
    advance(state, now);
    if (message.m_fence < state.m_fence) {
        return {platform::CommandOutcome::Fenced, state.m_fence, {}, {}};
    }
    state.m_fence = message.m_fence;
    for (const auto &item : message.m_commands) {
        applyOne(state, item, now);
    }
    return {platform::CommandOutcome::Reported, state.m_fence, statuses(state), {}};
}

fleet::Resources usedResources(const WorkerState &state)
{
    fleet::Resources used;
    for (const auto &[task, lease] : state.m_tasks) {
        if (isLive(lease)) {
            used = used + lease.m_resources;
        }
    }
    return used;
}

}
