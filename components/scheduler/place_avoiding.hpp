#ifndef COMPONENTS_SCHEDULER_PLACE_AVOIDING_HPP
#define COMPONENTS_SCHEDULER_PLACE_AVOIDING_HPP

#include "components/placement/place.hpp"
#include "components/scheduler/state.hpp"

#include <optional>

namespace scheduler
{

/// Places the job by best fit. Avoids workers on which it failed and, for gangs of several tasks, workers on probation
/// after a quarantine; uses them only if the job fits nowhere else.
std::optional<placement::Assignment> placeAvoiding(const State &state, const placement::Pool &pool, const Job &job);

}

#endif
