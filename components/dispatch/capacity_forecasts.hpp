#ifndef COMPONENTS_DISPATCH_CAPACITY_FORECASTS_HPP
#define COMPONENTS_DISPATCH_CAPACITY_FORECASTS_HPP

#include "components/dispatch/available_worker.hpp"
#include "components/dispatch/capacity_forecast.hpp"

#include <optional>

namespace dispatch
{

struct Candidate;
struct Context;

/// The workers that will have room for all tasks of the candidate soonest, without stopping anything; nothing where there
/// is not enough room on the workers in use.
std::optional<CapacityForecast> forecastCapacity(const Context &context, const Candidate &candidate, AvailableWorkers &availableWorkers);

}

#endif
