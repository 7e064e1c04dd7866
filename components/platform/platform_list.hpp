#ifndef COMPONENTS_PLATFORM_PLATFORM_LIST_HPP
#define COMPONENTS_PLATFORM_PLATFORM_LIST_HPP

#include "components/fleet/time.hpp"
#include "components/platform/instance_entry.hpp"
#include "components/platform/runner_entry.hpp"
#include "components/platform/worker_entry.hpp"

#include <vector>

namespace platform
{

/// The platform's list of instances and targets. It may be out of date: `m_asOf` is the time at which it was current.
struct PlatformList
{
    fleet::TimePoint m_asOf;
    std::vector<InstanceEntry> m_instances;
    std::vector<WorkerEntry> m_workers;
    std::vector<RunnerEntry> m_runners;

    bool operator==(const PlatformList &) const = default;
};

}

#endif
