#ifndef COMPONENTS_DISPATCH_CAPACITY_FORECASTS_HPP
#define COMPONENTS_DISPATCH_CAPACITY_FORECASTS_HPP

#include "components/dispatch/available_worker.hpp"
#include "components/dispatch/capacity_forecast.hpp"

#include <optional>

namespace dispatch
{

struct Candidate;
struct Context;

/// Returns the workers that will have capacity for all tasks of the candidate soonest, without stopping any run; nothing if the
/// available workers do not have enough capacity.
std::optional<CapacityForecast> forecastCapacity(const Context &context, const Candidate &candidate, AvailableWorkers &availableWorkers);

}

#endif
