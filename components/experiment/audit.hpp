#ifndef COMPONENTS_EXPERIMENT_AUDIT_HPP
#define COMPONENTS_EXPERIMENT_AUDIT_HPP

#include "components/experiment/fake_worker.hpp"
#include "components/experiment/task_change.hpp"
#include "components/experiment/violation.hpp"

#include <optional>
#include <unordered_map>
#include <vector>

namespace experiment
{

/// Maximum delivery delay of a command.
inline constexpr fleet::Duration maxCommandDelay = std::chrono::seconds(2);

/// Time for which tasks may still start after a zone was taken out of service or a worker began to leave.
inline constexpr fleet::Duration unavailabilityGrace = std::chrono::seconds(6);

/// A running task and its worker.
struct LiveTask
{
    scheduler::TaskRef m_task;
    fleet::WorkerId m_worker;
};

/// Tasks of one job that run on the workers, independent of the scheduler's state.
struct JobAudit
{
    int m_gangSize = 1;
    std::vector<LiveTask> m_live;
    int m_attempt = 0;
    /// Number of tasks of m_attempt that succeeded.
    int m_succeeded = 0;
    fleet::Duration m_leaseLength {0};
    /// Start of the current partial period: at least one task runs, but not all tasks run or have succeeded.
    std::optional<fleet::TimePoint> m_partialSince;
    /// First time at which all tasks were running.
    std::optional<fleet::TimePoint> m_allRunningAt;
    /// First time at which all tasks of one attempt had succeeded.
    std::optional<fleet::TimePoint> m_succeededAt;
    /// The scheduler reported the job as ended.
    bool m_ended = false;
};

/// Checks what the workers run against the scheduler's guarantees, without using the scheduler's state.
struct Audit
{
    std::unordered_map<fleet::JobId, JobAudit> m_jobs;
    std::vector<Violation> m_violations;
};

/// Records and checks one change. Changes must be passed in order of time. `unavailableSince` is set while the worker's
/// zone is out or the worker is leaving.
void observe(Audit &audit, const TaskChange &change, int gangSize, std::optional<fleet::TimePoint> unavailableSince);

/// Records that the scheduler reported the job as ended.
void observeJobEnd(Audit &audit, const fleet::JobId &id, bool isDone, fleet::TimePoint now);

/// Checks that the worker's leases fit into its capacity.
void checkCapacity(Audit &audit, const FakeWorker &worker, fleet::TimePoint now);

/// Checks the gangs that are still partial at the end of the run.
void finish(Audit &audit, fleet::TimePoint now);

}

#endif
