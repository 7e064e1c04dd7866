#ifndef COMPONENTS_DISPATCH_ZONE_PARTITIONS_HPP
#define COMPONENTS_DISPATCH_ZONE_PARTITIONS_HPP

#include "components/fleet/identifiers.hpp"

#include <set>

namespace dispatch
{

struct Context;
struct WorkerState;

/// Replaces the set of zones of which no instance answers. Their workers may still be reachable.
void updateSuspectedZones(Context &context, const std::set<fleet::ZoneId> &suspected);

/// True if neither an instance nor a worker of the zone answered recently, so that orders to its workers would be lost.
bool isPartitioned(const Context &context, const fleet::ZoneId &zone);

/// Has one idle worker polled in each zone that may be partitioned, since idle workers are not polled otherwise.
void probeSuspectedZones(Context &context);

}

#endif
