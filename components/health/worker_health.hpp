#ifndef COMPONENTS_HEALTH_WORKER_HEALTH_HPP
#define COMPONENTS_HEALTH_WORKER_HEALTH_HPP

#include "components/fleet/identifiers.hpp"
#include "components/fleet/time.hpp"

#include <map>

namespace health
{

/// Failures and quarantine of one worker.
struct WorkerHealth
{
    /// Distinct jobs whose failure counts against the worker, and when each failed last.
    std::map<fleet::JobId, fleet::TimePoint> m_failedJobs;
    /// Consecutive failures. Used by OneCounter only.
    int m_consecutiveFailures = 0;
    bool m_isInQuarantine = false;
    /// End of the current or the last quarantine.
    fleet::TimePoint m_quarantinedUntil;
    /// Quarantines without a failure-free window between them.
    int m_consecutiveQuarantines = 0;
    /// After a quarantine: only one job at a time until one succeeds.
    bool m_isProbing = false;

    bool operator==(const WorkerHealth &) const = default;
};

}

#endif
