#ifndef COMPONENTS_SCHEDULER_GROUP_HPP
#define COMPONENTS_SCHEDULER_GROUP_HPP

#include "components/estimates/run_times.hpp"
#include "components/scheduler/waiting_job.hpp"

#include <cstdint>
#include <set>

namespace scheduler
{

/// Waiting jobs of one account, kind, urgency and shape, in order of submission. Only the first job is tried, because
/// the others fit only where it does.
struct Group
{
    std::set<WaitingJob> m_jobs;
    /// Fleet version for which the shape was found to fit into the empty zone.
    std::uint64_t m_feasibleFleetVersion = 0;

    bool operator==(const Group &) const = default;
};

}

#endif
