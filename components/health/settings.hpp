#ifndef COMPONENTS_HEALTH_SETTINGS_HPP
#define COMPONENTS_HEALTH_SETTINGS_HPP

#include "components/fleet/time.hpp"
#include "components/health/attribution.hpp"

namespace health
{

/// Thresholds for attributing failures.
struct Settings
{
    Attribution m_attribution = Attribution::DistinctPairs;
    /// A job that failed on this many distinct workers is bad.
    int m_badJobWorkers = 3;
    /// A job that failed this often is bad, on whichever workers it failed.
    int m_badJobFailures = 10;
    /// A worker on which this many distinct jobs failed is quarantined.
    int m_badWorkerJobs = 3;
    /// A rack with this many workers in quarantine is quarantined as a whole. LayeredScopes only.
    int m_badRackWorkers = 3;
    /// Failures older than this do not count. After a quarantine and this long without failures, the next quarantine of the
    /// worker has the base length again.
    fleet::Duration m_window {600'000};
    /// Length of the first quarantine. Each further quarantine without a failure-free window before it is twice as long as
    /// the one before, up to the maximum.
    fleet::Duration m_quarantineBase {60'000};
    fleet::Duration m_quarantineMax {3'600'000};

    bool operator==(const Settings &) const = default;
};

}

#endif
