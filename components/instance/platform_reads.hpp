#ifndef COMPONENTS_INSTANCE_PLATFORM_READS_HPP
#define COMPONENTS_INSTANCE_PLATFORM_READS_HPP

#include "components/fleet/time.hpp"
#include "components/instance/events.hpp"

namespace instance
{

struct Core;

/// Reads the list and the runners' load where they are due.
void tickPlatform(Core &core, fleet::TimePoint now);

/// Tells every slice what the list shows. An older list than the last is ignored.
void onListReadEnded(Core &core, const ListReadEnded &event, fleet::TimePoint now);

void onLoadReadEnded(Core &core, const LoadReadEnded &event, fleet::TimePoint now);

}

#endif
