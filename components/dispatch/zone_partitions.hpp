#ifndef COMPONENTS_DISPATCH_ZONE_PARTITIONS_HPP
#define COMPONENTS_DISPATCH_ZONE_PARTITIONS_HPP

#include "components/fleet/identifiers.hpp"

#include <set>

namespace dispatch
{

struct Context;
struct WorkerState;

/// Takes over of which zones no instance answers. A zone's workers may still be within reach; one of those without runs is asked.
void updateSuspectedZones(Context &context, const std::set<fleet::ZoneId> &suspected);

/// True where neither an instance nor a worker of the zone answered lately: orders to its workers would be lost.
bool isPartitioned(const Context &context, const fleet::ZoneId &zone);

/// Asks one idle worker in each zone that may be cut off, since only busy workers are looked at otherwise.
void probeSuspectedZones(Context &context);

}

#endif
