#ifndef COMPONENTS_RECLAIM_MAKE_PLAN_HPP
#define COMPONENTS_RECLAIM_MAKE_PLAN_HPP

#include "components/fleet/shape.hpp"
#include "components/reclaim/plan.hpp"
#include "components/reclaim/victim.hpp"

#include <optional>

namespace reclaim
{

/// Finds workers on which the shape can run with little lost work. Returns nothing if stopping every victim is not enough.
///
/// The capacity of a node is what is free on it plus what victims would release, but at most what `ceiling` has free
/// there. For each worker or rack that could hold the shape, the search chooses the victims with the lowest cost per
/// freed resource. It then takes the cheapest choice and drops victims that are not needed.
std::optional<Plan> makePlan(const placement::Pool &free, const placement::Pool &ceiling, const std::vector<Victim> &victims, const fleet::Shape &shape);

}

#endif
