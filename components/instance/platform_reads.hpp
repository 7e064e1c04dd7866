#ifndef COMPONENTS_INSTANCE_PLATFORM_READS_HPP
#define COMPONENTS_INSTANCE_PLATFORM_READS_HPP

#include "components/fleet/time.hpp"
#include "components/instance/events.hpp"

namespace instance
{

struct Core;

/// Starts the reads of the platform's list and of the runners' load that are due.
void tickPlatform(Core &core, fleet::TimePoint now);

/// Passes the list to every component that uses it. A list that is older than the last one is ignored.
void onListReadEnded(Core &core, const ListReadEnded &event, fleet::TimePoint now);

void onLoadReadEnded(Core &core, const LoadReadEnded &event, fleet::TimePoint now);

}

#endif
