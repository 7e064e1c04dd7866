#ifndef COMPONENTS_SCHEDULER_PLACE_AVOIDING_HPP
#define COMPONENTS_SCHEDULER_PLACE_AVOIDING_HPP

#include "components/placement/place.hpp"
#include "components/scheduler/state.hpp"

#include <optional>

namespace scheduler
{

/// Places the job by best fit, away from workers on which it failed and, for gangs of several tasks, from workers that
/// are probed after a quarantine; on those too where there is no other room.
std::optional<placement::Assignment> placeAvoiding(const State &state, const placement::Pool &pool, const Job &job);

}

#endif
