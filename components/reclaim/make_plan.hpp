#ifndef COMPONENTS_RECLAIM_MAKE_PLAN_HPP
#define COMPONENTS_RECLAIM_MAKE_PLAN_HPP

#include "components/fleet/shape.hpp"
#include "components/reclaim/plan.hpp"
#include "components/reclaim/victim.hpp"

#include <optional>

namespace reclaim
{

/// Finds where the shape can run at the least loss of work, or nothing where stopping every victim is not enough.
///
/// A node offers what is free on it and what victims would give back, but no more than `ceiling` has free there.
/// The search takes, for each worker or rack that could hold the shape, the cheapest victims for what they free there,
/// and drops those that turn out not to be needed.
std::optional<Plan> makePlan(const placement::Pool &free, const placement::Pool &ceiling, const std::vector<Victim> &victims, const fleet::Shape &shape);

}

#endif
