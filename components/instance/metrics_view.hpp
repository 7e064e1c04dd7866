#ifndef COMPONENTS_INSTANCE_METRICS_VIEW_HPP
#define COMPONENTS_INSTANCE_METRICS_VIEW_HPP

#include "components/fleet/time.hpp"

#include <string>

namespace instance
{

struct Core;

/// Returns the text of /metrics: the counters, and gauges of the current state.
std::string renderMetrics(Core &core, fleet::TimePoint now);

}

#endif
