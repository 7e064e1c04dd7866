#ifndef COMPONENTS_HEALTH_WORKER_HEALTH_HPP
#define COMPONENTS_HEALTH_WORKER_HEALTH_HPP

#include "components/fleet/identifiers.hpp"
#include "components/fleet/time.hpp"

#include <map>

namespace health
{

/// What is held against one worker.
struct WorkerHealth
{
    /// Distinct jobs that failed here, and when last.
    std::map<fleet::JobId, fleet::TimePoint> m_failedJobs;
    /// Failures in a row. OneCounter only.
    int m_consecutiveFailures = 0;
    bool m_isInQuarantine = false;
    /// End of the present or the last quarantine.
    fleet::TimePoint m_quarantinedUntil;
    /// Quarantines without a quiet period between them.
    int m_consecutiveQuarantines = 0;
    /// After a quarantine: one job at a time until one succeeds.
    bool m_isProbing = false;

    bool operator==(const WorkerHealth &) const = default;
};

}

#endif
