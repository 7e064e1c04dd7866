#ifndef COMPONENTS_HEALTH_RECORDS_HPP
#define COMPONENTS_HEALTH_RECORDS_HPP

#include "components/fleet/identifiers.hpp"
#include "components/fleet/time.hpp"
#include "components/health/job_health.hpp"
#include "components/health/settings.hpp"
#include "components/health/worker_health.hpp"

#include <map>
#include <vector>

namespace health
{

/// Failures of the workers, by index, and of the jobs of one zone.
struct Records
{
    std::map<int, WorkerHealth> m_workers;
    std::map<fleet::JobId, JobHealth> m_jobs;

    bool operator==(const Records &) const = default;
};

/// Consequences of a failure.
struct FailureResult
{
    bool m_isJobBad = false;
    /// Workers quarantined because of this failure.
    std::vector<int> m_quarantined;
};

/// Records that a task of the job failed on the worker. `rack` lists the workers of the worker's rack.
FailureResult
recordFailure(Records &records, const Settings &settings, const fleet::JobId &job, int worker, const std::vector<int> &rack, fleet::TimePoint now);

/// Records that a task succeeded on the worker.
void recordSuccess(Records &records, int worker);

/// Drops the failures counted against the job. Its failures that count against workers stay for the window.
void dropJob(Records &records, const fleet::JobId &job);

/// Drops failures older than the window. Workers whose quarantine is over start probing; returns these workers.
std::vector<int> expire(Records &records, const Settings &settings, fleet::TimePoint now);

bool isQuarantined(const Records &records, int worker);
bool isProbing(const Records &records, int worker);

}

#endif
