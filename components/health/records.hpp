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

/// What a failure proved.
struct FailureResult
{
    bool m_isJobBad = false;
    /// Workers that are in quarantine from now on.
    std::vector<int> m_quarantined;
};

/// Takes in that a task of the job failed on the worker. `rack` lists the workers of its rack.
FailureResult
recordFailure(Records &records, const Settings &settings, const fleet::JobId &job, int worker, const std::vector<int> &rack, fleet::TimePoint now);

/// Takes in that a task succeeded on the worker.
void recordSuccess(Records &records, int worker);

/// Drops what is held against the job; what it holds against workers stays for the window.
void dropJob(Records &records, const fleet::JobId &job);

/// Drops failures that are too old to count. Workers whose quarantine is over start probing; they are returned.
std::vector<int> expire(Records &records, const Settings &settings, fleet::TimePoint now);

bool isQuarantined(const Records &records, int worker);
bool isProbing(const Records &records, int worker);

}

#endif
