#ifndef COMPONENTS_HEALTH_SETTINGS_HPP
#define COMPONENTS_HEALTH_SETTINGS_HPP

#include "components/fleet/time.hpp"
#include "components/health/attribution.hpp"

namespace health
{

/// Thresholds of the attribution of failures.
struct Settings
{
    Attribution m_attribution = Attribution::DistinctPairs;
    /// A job that failed on this many distinct workers is bad.
    int m_badJobWorkers = 3;
    /// A job that failed this often is bad wherever it failed.
    int m_badJobFailures = 10;
    /// A worker on which this many distinct jobs failed is quarantined.
    int m_badWorkerJobs = 3;
    /// A rack with this many workers in quarantine is quarantined whole. LayeredScopes only.
    int m_badRackWorkers = 3;
    /// Failures older than this count no more. Quiet for this long after a quarantine, a worker starts at the base again.
    fleet::Duration m_window {600'000};
    /// The first quarantine; each one that follows without a quiet period is twice as long, up to the maximum.
    fleet::Duration m_quarantineBase {60'000};
    fleet::Duration m_quarantineMax {3'600'000};

    bool operator==(const Settings &) const = default;
};

}

#endif
