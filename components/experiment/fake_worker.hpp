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

/// Lease of one reserved or running task.
struct FakeLease
{
    fleet::Resources m_resources;
    fleet::TimePoint m_expiresAt;
    bool m_running = false;
    bool m_throttled = false;
    fleet::TimePoint m_startedAt;
    /// Time up to which m_progress is accounted.
    fleet::TimePoint m_progressUpdatedAt;
    fleet::Duration m_resumedFrom {0};
    /// Completed run time, including m_resumedFrom.
    fleet::Duration m_progress {0};
    fleet::Duration m_checkpointed {0};
    /// Progress at which the task ends.
    fleet::Duration m_endProgress {0};
    bool m_succeeds = true;
};

/// Simulated worker: its leases, and final statuses that no Forget command has removed yet.
struct FakeWorker
{
    fleet::WorkerInfo m_info;
    bool m_alive = true;
    bool m_failsEverything = false;
    std::map<scheduler::TaskRef, FakeLease> m_leases;
    std::map<scheduler::TaskRef, scheduler::TaskStatus> m_finalStatuses;
};

/// Advances running tasks and expires leases up to `now`.
std::vector<TaskChange> advance(FakeWorker &worker, fleet::TimePoint now);

/// Applies one command. `job` determines the task's actual behaviour. advance() must have been called for `now`.
std::vector<TaskChange> apply(FakeWorker &worker, const scheduler::WorkerCommand &command, const PlannedJob &job, fleet::TimePoint now);

/// Simulates a crash: ends all tasks and drops all leases and statuses.
std::vector<TaskChange> crash(FakeWorker &worker, fleet::TimePoint now);

/// Returns the status of every lease and every final status that is still kept.
std::vector<scheduler::TaskStatus> report(const FakeWorker &worker);

/// Sum of the resources of all leases.
fleet::Resources leasedResources(const FakeWorker &worker);

/// Time at which the next task ends or the next lease expires if no command arrives. TimePoint::max() if there is no lease.
fleet::TimePoint nextChangeTime(const FakeWorker &worker);

}

#endif
