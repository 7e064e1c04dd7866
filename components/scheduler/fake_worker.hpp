#ifndef COMPONENTS_SCHEDULER_FAKE_WORKER_HPP
#define COMPONENTS_SCHEDULER_FAKE_WORKER_HPP

#include "components/fleet/worker_info.hpp"
#include "components/scheduler/task_status.hpp"
#include "components/scheduler/worker_command.hpp"

#include <map>
#include <vector>

namespace scheduler::test
{

/// A lease or a final status on a fake worker.
struct FakeTask
{
    TaskPhase m_phase = TaskPhase::Reserved;
    fleet::Resources m_resources;
    fleet::TimePoint m_leaseExpiresAt;
    fleet::TimePoint m_startedAt;
    fleet::Duration m_resumedFrom {0};
    fleet::Duration m_checkpointed {0};
};

/// Follows the worker protocol, with leases by its own clock.
struct FakeWorker
{
    fleet::WorkerInfo m_info;
    bool m_failsEverything = false;
    /// Messages do not reach the worker before this time.
    fleet::TimePoint m_unreachableUntil;
    std::map<TaskRef, FakeTask> m_tasks;

    static bool isLive(const FakeTask &task)
    {
        return task.m_phase == TaskPhase::Reserved || task.m_phase == TaskPhase::Running;
    }

    fleet::Resources used() const
    {
        fleet::Resources sum;
        for (const auto &[ref, task] : m_tasks) {
            sum = isLive(task) ? sum + task.m_resources : sum;
        }
        return sum;
    }

    /// Expires leases and ends tasks whose run time, given by job, is over.
    void advance(const std::map<fleet::JobId, fleet::Duration> &runTimes, const std::map<fleet::JobId, bool> &isBad, fleet::TimePoint now)
    {
        for (auto &[ref, task] : m_tasks) {
            if (isLive(task) && now >= task.m_leaseExpiresAt) {
                task.m_phase = TaskPhase::LeaseExpired;
            }
            const bool isDone = now - task.m_startedAt + task.m_resumedFrom >= runTimes.at(ref.m_job);
            if (task.m_phase == TaskPhase::Running && (isDone || m_failsEverything)) {
                task.m_phase = m_failsEverything || isBad.at(ref.m_job) ? TaskPhase::Failed : TaskPhase::Succeeded;
            }
        }
    }

    void execute(const WorkerCommand &command, fleet::TimePoint now)
    {
        const auto found = m_tasks.find(command.m_task);
        FakeTask *task = found == m_tasks.end() ? nullptr : &found->second;
        if (command.m_kind == CommandKind::Reserve && task == nullptr) {
            const bool fits = (used() + command.m_resources).fitsIn(m_info.m_capacity);
            m_tasks[command.m_task] = {fits ? TaskPhase::Reserved : TaskPhase::Refused, command.m_resources, now + command.m_leaseLength};
        }
        if (task == nullptr) {
            return;
        }
        if (command.m_kind == CommandKind::Forget && !isLive(*task)) {
            m_tasks.erase(found);
        } else if (isLive(*task)) {
            executeOnLease(command, *task, now);
        }
    }

    std::vector<TaskStatus> report(fleet::TimePoint now) const
    {
        std::vector<TaskStatus> statuses;
        for (const auto &[ref, task] : m_tasks) {
            const fleet::Duration ran = task.m_phase == TaskPhase::Running ? now - task.m_startedAt : fleet::Duration {0};
            statuses.push_back({ref, task.m_phase, task.m_checkpointed, ran});
        }
        return statuses;
    }

private:
    static void executeOnLease(const WorkerCommand &command, FakeTask &task, fleet::TimePoint now)
    {
        if (command.m_leaseLength > fleet::Duration {0}) {
            task.m_leaseExpiresAt = now + command.m_leaseLength;
        }
        if (command.m_kind == CommandKind::Start && task.m_phase == TaskPhase::Reserved) {
            task.m_phase = TaskPhase::Running;
            task.m_startedAt = now;
            task.m_resumedFrom = command.m_resumeFrom;
        } else if (command.m_kind == CommandKind::Checkpoint && task.m_phase == TaskPhase::Running) {
            task.m_checkpointed = task.m_resumedFrom + (now - task.m_startedAt);
        } else if (command.m_kind == CommandKind::Stop) {
            task.m_phase = TaskPhase::Stopped;
        }
    }
};

}

#endif
