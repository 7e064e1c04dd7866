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

/// Longest time that a command may be on its way in a run.
inline constexpr fleet::Duration maxCommandDelay = std::chrono::seconds(2);

/// Time after a take-out within which a start may still happen.
inline constexpr fleet::Duration zoneOutGrace = std::chrono::seconds(6);

/// Where one task of a job runs.
struct LiveTask
{
    scheduler::TaskRef m_task;
    fleet::WorkerId m_worker;
};

/// What really runs of one job, whatever the scheduler believes.
struct JobAudit
{
    int m_gangSize = 1;
    std::vector<LiveTask> m_live;
    int m_attempt = 0;
    /// Tasks of m_attempt that succeeded.
    int m_succeeded = 0;
    fleet::Duration m_leaseLength {0};
    /// Set while some but not all tasks of the gang run.
    std::optional<fleet::TimePoint> m_partialSince;
    /// First time at which all tasks ran.
    std::optional<fleet::TimePoint> m_allRunningAt;
    /// Time at which every task of one attempt had succeeded.
    std::optional<fleet::TimePoint> m_succeededAt;
    /// The scheduler reported the job as ended.
    bool m_ended = false;
};

/// Independent check of what the workers really run against the promises of the scheduler.
struct Audit
{
    std::unordered_map<fleet::JobId, JobAudit> m_jobs;
    std::vector<Violation> m_violations;
};

/// Takes one change in. Changes must arrive in order of time. `closedSince` is set while the worker's zone is out or
/// the worker is leaving.
void observe(Audit &audit, const TaskChange &change, int gangSize, std::optional<fleet::TimePoint> unavailableSince);

/// Takes in that the scheduler reported the job as ended.
void observeJobEnd(Audit &audit, const fleet::JobId &id, bool isDone, fleet::TimePoint now);

/// Checks that the worker's leases fit its capacity.
void checkCapacity(Audit &audit, const FakeWorker &worker, fleet::TimePoint now);

/// Checks gangs that are partial at the end of the run.
void finish(Audit &audit, fleet::TimePoint now);

}

#endif
