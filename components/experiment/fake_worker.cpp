#include "components/experiment/fake_worker.hpp"

#include <algorithm>
#include <utility>

namespace experiment
{

namespace
{

using scheduler::CommandKind;
using scheduler::TaskPhase;
using scheduler::TaskRef;

constexpr fleet::Duration failureDelay = std::chrono::seconds(3);
constexpr int throttleFactor = 2;
/// Time without progress while a task writes a checkpoint.
constexpr fleet::Duration checkpointPause = std::chrono::seconds(5);

void updateProgress(FakeLease &lease, fleet::TimePoint until)
{
    if (lease.m_running && until > lease.m_progressUpdatedAt) {
        lease.m_progress += (until - lease.m_progressUpdatedAt) / (lease.m_throttled ? throttleFactor : 1);
    }
    lease.m_progressUpdatedAt = std::max(lease.m_progressUpdatedAt, until);
}

fleet::TimePoint completionTime(const FakeLease &lease)
{
    const fleet::Duration remaining = std::max(fleet::Duration(0), lease.m_endProgress - lease.m_progress);
    return lease.m_progressUpdatedAt + remaining * (lease.m_throttled ? throttleFactor : 1);
}

/// Removes the lease and keeps its final status. Returns a change if the task was running.
std::vector<TaskChange> endTask(FakeWorker &worker, const TaskRef &task, TaskPhase phase, fleet::TimePoint at)
{
    FakeLease lease = worker.m_leases.at(task);
    updateProgress(lease, at);
    worker.m_leases.erase(task);
    worker.m_finalStatuses[task] = {task, phase, lease.m_checkpointed, lease.m_progress - lease.m_resumedFrom};
    if (!lease.m_running) {
        return {};
    }
    const bool isLost = phase != TaskPhase::Succeeded;
    const fleet::Duration kept = std::max(lease.m_resumedFrom, lease.m_checkpointed);
    const fleet::Duration lost = isLost ? lease.m_progress - kept : fleet::Duration(0);
    return {{task, worker.m_info.m_id, phase, at, fleet::Duration(0), lost}};
}

void append(std::vector<TaskChange> &to, const std::vector<TaskChange> &from)
{
    to.insert(to.end(), from.begin(), from.end());
}

bool hasCapacity(const FakeWorker &worker, const fleet::Resources &resources)
{
    return (leasedResources(worker) + resources).fitsIn(worker.m_info.m_capacity);
}

void reserve(FakeWorker &worker, const scheduler::WorkerCommand &command, fleet::TimePoint now)
{
    const auto found = worker.m_leases.find(command.m_task);
    if (found != worker.m_leases.end()) {
        found->second.m_expiresAt = std::max(found->second.m_expiresAt, now + command.m_leaseLength);
        return;
    }
    if (worker.m_finalStatuses.contains(command.m_task)) {
        return;
    }
    if (!hasCapacity(worker, command.m_resources)) {
        worker.m_finalStatuses[command.m_task] = {command.m_task, TaskPhase::Refused, {}, {}};
        return;
    }
    FakeLease lease;
    lease.m_resources = command.m_resources;
    lease.m_expiresAt = now + command.m_leaseLength;
    worker.m_leases[command.m_task] = lease;
}

std::vector<TaskChange> start(FakeWorker &worker, const scheduler::WorkerCommand &command, const PlannedJob &job, fleet::TimePoint now)
{
    const auto found = worker.m_leases.find(command.m_task);
    if (found == worker.m_leases.end()) {
        worker.m_finalStatuses.try_emplace(command.m_task, scheduler::TaskStatus {command.m_task, TaskPhase::Refused, {}, {}});
        return {};
    }
    FakeLease &lease = found->second;
    if (lease.m_running) {
        return {};
    }
    lease.m_running = true;
    lease.m_startedAt = now;
    lease.m_progressUpdatedAt = now;
    lease.m_expiresAt = now + command.m_leaseLength;
    lease.m_resumedFrom = command.m_resumeFrom;
    lease.m_progress = command.m_resumeFrom;
    lease.m_checkpointed = command.m_resumeFrom;
    lease.m_endProgress = job.m_runTime;
    lease.m_succeeds = true;
    if (worker.m_failsEverything || job.m_failsAfter) {
        const fleet::Duration delay = worker.m_failsEverything ? failureDelay : *job.m_failsAfter;
        lease.m_endProgress = std::min(lease.m_endProgress, command.m_resumeFrom + delay);
        lease.m_succeeds = false;
    }
    return {{command.m_task, worker.m_info.m_id, TaskPhase::Running, now, command.m_leaseLength, fleet::Duration(0)}};
}

std::vector<TaskChange> stop(FakeWorker &worker, const TaskRef &task, fleet::TimePoint now)
{
    if (worker.m_leases.contains(task)) {
        return endTask(worker, task, TaskPhase::Stopped, now);
    }
    worker.m_finalStatuses.try_emplace(task, scheduler::TaskStatus {task, TaskPhase::Stopped, {}, {}});
    return {};
}

void changeLease(FakeWorker &worker, const scheduler::WorkerCommand &command, bool checkpointable, fleet::TimePoint now)
{
    const auto found = worker.m_leases.find(command.m_task);
    if (found == worker.m_leases.end()) {
        return;
    }
    FakeLease &lease = found->second;
    updateProgress(lease, now);
    if (command.m_kind == CommandKind::Renew) {
        lease.m_expiresAt = now + command.m_leaseLength;
    } else if (command.m_kind == CommandKind::Checkpoint && lease.m_running && checkpointable) {
        lease.m_checkpointed = lease.m_progress;
        lease.m_progressUpdatedAt = now + checkpointPause;
    } else if (command.m_kind == CommandKind::Throttle) {
        lease.m_throttled = true;
    } else if (command.m_kind == CommandKind::Unthrottle) {
        lease.m_throttled = false;
    }
}

/// Time and outcome of the end of the lease's task if no further command arrives.
std::pair<fleet::TimePoint, TaskPhase> expectedEnd(const FakeLease &lease)
{
    if (lease.m_running && completionTime(lease) <= lease.m_expiresAt) {
        return {completionTime(lease), lease.m_succeeds ? TaskPhase::Succeeded : TaskPhase::Failed};
    }
    return {lease.m_expiresAt, TaskPhase::LeaseExpired};
}

}

std::vector<TaskChange> advance(FakeWorker &worker, fleet::TimePoint now)
{
    std::vector<std::pair<TaskRef, std::pair<fleet::TimePoint, TaskPhase>>> ended;
    for (const auto &[task, lease] : worker.m_leases) {
        const auto end = expectedEnd(lease);
        if (end.first <= now) {
            ended.emplace_back(task, end);
        }
    }
    std::vector<TaskChange> changes;
    for (const auto &[task, end] : ended) {
        append(changes, endTask(worker, task, end.second, end.first));
    }
    for (auto &[task, lease] : worker.m_leases) {
        updateProgress(lease, now);
    }
    return changes;
}

std::vector<TaskChange> apply(FakeWorker &worker, const scheduler::WorkerCommand &command, const PlannedJob &job, fleet::TimePoint now)
{
    switch (command.m_kind) {
    case CommandKind::Reserve:
        reserve(worker, command, now);
        return {};
    case CommandKind::Start:
        return start(worker, command, job, now);
    case CommandKind::Stop:
        return stop(worker, command.m_task, now);
    case CommandKind::Forget:
        worker.m_finalStatuses.erase(command.m_task);
        return {};
    case CommandKind::Renew:
    case CommandKind::Checkpoint:
    case CommandKind::Throttle:
    case CommandKind::Unthrottle:
        changeLease(worker, command, job.m_spec.m_checkpointable, now);
        return {};
    }
    return {};
}

std::vector<TaskChange> crash(FakeWorker &worker, fleet::TimePoint now)
{
    std::vector<TaskChange> changes = advance(worker, now);
    while (!worker.m_leases.empty()) {
        const TaskRef task = worker.m_leases.begin()->first;
        append(changes, endTask(worker, task, TaskPhase::LeaseExpired, now));
    }
    worker.m_finalStatuses.clear();
    return changes;
}

std::vector<scheduler::TaskStatus> report(const FakeWorker &worker)
{
    std::vector<scheduler::TaskStatus> statuses;
    statuses.reserve(worker.m_leases.size() + worker.m_finalStatuses.size());
    for (const auto &[task, lease] : worker.m_leases) {
        const TaskPhase phase = lease.m_running ? TaskPhase::Running : TaskPhase::Reserved;
        statuses.push_back({task, phase, lease.m_checkpointed, lease.m_progress - lease.m_resumedFrom});
    }
    for (const auto &[task, status] : worker.m_finalStatuses) {
        statuses.push_back(status);
    }
    return statuses;
}

fleet::Resources leasedResources(const FakeWorker &worker)
{
    fleet::Resources total;
    for (const auto &[task, lease] : worker.m_leases) {
        total = total + lease.m_resources;
    }
    return total;
}

fleet::TimePoint nextChangeTime(const FakeWorker &worker)
{
    fleet::TimePoint next = fleet::TimePoint::max();
    for (const auto &[task, lease] : worker.m_leases) {
        next = std::min(next, expectedEnd(lease).first);
    }
    return next;
}

}
