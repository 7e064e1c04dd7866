#ifndef COMPONENTS_EXPERIMENT_FAKE_WORKER_HPP
#define COMPONENTS_EXPERIMENT_FAKE_WORKER_HPP

#include "components/experiment/planned_job.hpp"
#include "components/experiment/task_change.hpp"
#include "components/fleet/worker_info.hpp"
#include "components/scheduler/task_status.hpp"
#include "components/scheduler/worker_command.hpp"

#include <map>
#include <vector>

namespace experiment
{

/// One live lease in a worker's table.
struct FakeLease
{
    fleet::Resources m_resources;
    fleet::TimePoint m_expiresAt;
    bool m_running = false;
    bool m_throttled = false;
    fleet::TimePoint m_startedAt;
    /// Up to when m_progress is accounted.
    fleet::TimePoint m_progressUpdatedAt;
    fleet::Duration m_resumedFrom {0};
    /// Run time done, with what was resumed.
    fleet::Duration m_progress {0};
    fleet::Duration m_checkpointed {0};
    /// Progress at which the task ends.
    fleet::Duration m_endProgress {0};
    bool m_succeeds = true;
};

/// A worker as a plain table of leases and of final statuses that were not forgotten.
struct FakeWorker
{
    fleet::WorkerInfo m_info;
    bool m_alive = true;
    bool m_failsEverything = false;
    std::map<scheduler::TaskRef, FakeLease> m_leases;
    std::map<scheduler::TaskRef, scheduler::TaskStatus> m_finalStatuses;
};

/// Lets running tasks proceed and leases lapse up to `now`.
std::vector<TaskChange> advance(FakeWorker &worker, fleet::TimePoint now);

/// Applies one command; `job` tells how the commanded task really behaves. advance() must have been called for `now`.
std::vector<TaskChange> apply(FakeWorker &worker, const scheduler::WorkerCommand &command, const PlannedJob &job, fleet::TimePoint now);

/// Loses every lease and every status, as a crash does.
std::vector<TaskChange> crash(FakeWorker &worker, fleet::TimePoint now);

/// Every lease and every final status not yet forgotten.
std::vector<scheduler::TaskStatus> report(const FakeWorker &worker);

/// Resources of all leases together.
fleet::Resources leasedResources(const FakeWorker &worker);

/// When the next task ends or the next lease lapses by itself; the latest possible time where none will.
fleet::TimePoint nextChangeTime(const FakeWorker &worker);

}

#endif
