#ifndef COMPONENTS_HEALTH_JOB_HEALTH_HPP
#define COMPONENTS_HEALTH_JOB_HEALTH_HPP

#include <set>

namespace health
{

/// What is held against one job.
struct JobHealth
{
    /// Workers on which it failed, by index, without those that were found bad since.
    std::set<int> m_failedOn;
    int m_failures = 0;

    bool operator==(const JobHealth &) const = default;
};

}

#endif
