#include "components/standin/worker_table.hpp"

#include <algorithm>

namespace standin
{

using scheduler::CommandKind;
using scheduler::TaskPhase;
using scheduler::TaskRef;

namespace
{

/// A throttled task takes this many times as long.
constexpr int throttleFactor = 2;
/// A task that fails does so after at most this run time.
constexpr fleet::Duration failAfter {500};

bool isLive(const TaskLease &lease)
{
    return lease.m_phase == TaskPhase::Reserved || lease.m_phase == TaskPhase::Running;
}

void enter(WorkerTable &table, const TaskRef &task, TaskLease &lease, TaskPhase phase, fleet::TimePoint at)
{
    lease.m_phase = phase;
    table.m_history.push_back({at, task, phase});
}

fleet::Duration remainingRun(const TaskLease &lease)
{
    const auto whole = lease.m_runFor - lease.m_resumeFrom;
    const auto own = lease.m_fails ? std::min(whole, failAfter) : whole;
    return std::max(own - lease.m_ran, fleet::Duration(0));
}

fleet::TimePoint endOfRun(const TaskLease &lease)
{
    return lease.m_updatedAt + remainingRun(lease) * (lease.m_throttled ? throttleFactor : 1);
}

void run(TaskLease &lease, fleet::TimePoint until)
{
    const auto passed = std::max(until - lease.m_updatedAt, fleet::Duration(0));
    lease.m_ran += lease.m_throttled ? passed / throttleFactor : passed;
    lease.m_updatedAt = std::max(until, lease.m_updatedAt);
}

void advanceTask(WorkerTable &table, const TaskRef &task, TaskLease &lease, fleet::TimePoint now)
{
    const bool running = lease.m_phase == TaskPhase::Running;
    const bool endsFirst = running && endOfRun(lease) <= lease.m_leaseUntil;
    const auto moment = endsFirst ? endOfRun(lease) : lease.m_leaseUntil;
    if (running) {
        run(lease, std::min(moment, now));
    }
    if (moment > now) {
        return;
    }
    const auto ended = lease.m_fails ? TaskPhase::Failed : TaskPhase::Succeeded;
    enter(table, task, lease, endsFirst ? ended : TaskPhase::Lapsed, moment);
}

void reserve(WorkerTable &table, const scheduler::WorkerCommand &command, fleet::TimePoint now)
{
    const auto [entry, isNew] = table.m_tasks.try_emplace(command.m_task);
    auto &lease = entry->second;
    if (!isNew) {
        if (lease.m_phase == TaskPhase::Reserved) {
            lease.m_leaseUntil = now + command.m_leaseLength;
        }
        return;
    }
    lease.m_phase = TaskPhase::Refused;
    lease.m_updatedAt = now;
    const bool fits = (usedResources(table) + command.m_resources).fitsIn(table.m_info.m_capacity);
    const bool taken = fits && !table.m_leaving;
    lease.m_resources = command.m_resources;
    lease.m_leaseUntil = now + command.m_leaseLength;
    enter(table, command.m_task, lease, taken ? TaskPhase::Reserved : TaskPhase::Refused, now);
}

void start(WorkerTable &table, const platform::TaskCommand &item, fleet::TimePoint now)
{
    const auto &command = item.m_command;
    const auto [entry, isNew] = table.m_tasks.try_emplace(command.m_task);
    auto &lease = entry->second;
    if (isNew) {
        enter(table, command.m_task, lease, TaskPhase::Refused, now);
        return;
    }
    if (lease.m_phase != TaskPhase::Reserved) {
        return;
    }
    lease.m_runFor = item.m_standInRunTime.count() > 0 ? item.m_standInRunTime : table.m_defaultRun;
    lease.m_resumeFrom = std::min(command.m_resumeFrom, lease.m_runFor);
    lease.m_checkpointed = lease.m_resumeFrom;
    lease.m_fails = table.m_failsTasks;
    lease.m_updatedAt = now;
    lease.m_leaseUntil = now + command.m_leaseLength;
    enter(table, command.m_task, lease, TaskPhase::Running, now);
}

void stop(WorkerTable &table, const TaskRef &task, fleet::TimePoint now)
{
    // An unknown task is remembered as stopped, so that a reservation that arrives later does not bring it to life.
    const auto [entry, isNew] = table.m_tasks.try_emplace(task);
    if (isNew || isLive(entry->second)) {
        enter(table, task, entry->second, TaskPhase::Stopped, now);
    }
}

void applyToLive(TaskLease &lease, const scheduler::WorkerCommand &command, fleet::TimePoint now)
{
    const bool running = lease.m_phase == TaskPhase::Running;
    if (command.m_kind == CommandKind::Renew) {
        lease.m_leaseUntil = now + command.m_leaseLength;
    } else if (command.m_kind == CommandKind::Checkpoint && running) {
        lease.m_checkpointed = lease.m_resumeFrom + lease.m_ran;
    } else if (command.m_kind == CommandKind::Throttle) {
        lease.m_throttled = true;
    } else if (command.m_kind == CommandKind::Unthrottle) {
        lease.m_throttled = false;
    }
}

void applyOne(WorkerTable &table, const platform::TaskCommand &item, fleet::TimePoint now)
{
    const auto &command = item.m_command;
    if (command.m_kind == CommandKind::Reserve) {
        reserve(table, command, now);
        return;
    }
    if (command.m_kind == CommandKind::Start) {
        start(table, item, now);
        return;
    }
    if (command.m_kind == CommandKind::Stop) {
        stop(table, command.m_task, now);
        return;
    }
    const auto found = table.m_tasks.find(command.m_task);
    if (found == table.m_tasks.end()) {
        return;
    }
    if (isLive(found->second)) {
        applyToLive(found->second, command, now);
    } else if (command.m_kind == CommandKind::Forget) {
        table.m_tasks.erase(found);
    }
}

std::vector<scheduler::TaskStatus> statuses(const WorkerTable &table)
{
    std::vector<scheduler::TaskStatus> statuses;
    for (const auto &[task, lease] : table.m_tasks) {
        statuses.push_back({task, lease.m_phase, lease.m_checkpointed, lease.m_ran});
    }
    return statuses;
}

}

void advance(WorkerTable &table, fleet::TimePoint now)
{
    for (auto &[task, lease] : table.m_tasks) {
        if (isLive(lease)) {
            advanceTask(table, task, lease, now);
        }
    }
}

platform::CommandResult apply(WorkerTable &table, const platform::CommandMessage &message, fleet::TimePoint now)
{
    advance(table, now);
    if (message.m_fence < table.m_fence) {
        return {platform::CommandOutcome::Fenced, table.m_fence, {}, {}};
    }
    table.m_fence = message.m_fence;
    for (const auto &item : message.m_commands) {
        applyOne(table, item, now);
    }
    return {platform::CommandOutcome::Reported, table.m_fence, statuses(table), {}};
}

fleet::Resources usedResources(const WorkerTable &table)
{
    fleet::Resources used;
    for (const auto &[task, lease] : table.m_tasks) {
        if (isLive(lease)) {
            used = used + lease.m_resources;
        }
    }
    return used;
}

}
