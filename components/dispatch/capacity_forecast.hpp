#ifndef COMPONENTS_DISPATCH_CAPACITY_FORECAST_HPP
#define COMPONENTS_DISPATCH_CAPACITY_FORECAST_HPP

#include "components/dispatch/available_worker.hpp"
#include "components/fleet/time.hpp"

#include <cstdint>
#include <map>

namespace dispatch
{

/// Workers that will have free capacity for a step once current runs on them have ended.
struct CapacityForecast
{
    /// Number of tasks of the step, by worker.
    std::map<AvailableWorker *, std::uint32_t> m_tasksPerWorker;
    /// Estimated time from now until there is capacity for all tasks.
    fleet::Duration m_wait {0};
};

}

#endif
