#ifndef COMPONENTS_DISPATCH_CAPACITY_FORECAST_HPP
#define COMPONENTS_DISPATCH_CAPACITY_FORECAST_HPP

#include "components/dispatch/available_worker.hpp"
#include "components/fleet/time.hpp"

#include <cstdint>
#include <map>

namespace dispatch
{

/// Workers that will have room for a step when what runs on them has ended.
struct CapacityForecast
{
    /// Tasks of the step, by worker.
    std::map<AvailableWorker *, std::uint32_t> m_tasksPerWorker;
    /// When there will be room for all of them, from now.
    fleet::Duration m_wait {0};
};

}

#endif
