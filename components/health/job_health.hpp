#ifndef COMPONENTS_HEALTH_JOB_HEALTH_HPP
#define COMPONENTS_HEALTH_JOB_HEALTH_HPP

#include <set>

namespace health
{

/// Failures of one job.
struct JobHealth
{
    /// Workers on which it failed, by index, except workers that were quarantined since.
    std::set<int> m_failedOn;
    int m_failures = 0;

    bool operator==(const JobHealth &) const = default;
};

}

#endif
