#ifndef COMPONENTS_EXPERIMENT_ZONE_LOOP_HPP
#define COMPONENTS_EXPERIMENT_ZONE_LOOP_HPP

#include "components/scheduler/events.hpp"

#include <cstddef>

namespace experiment
{

struct RunState;

/// Passes the event to the zone's scheduler, after the pause if it is paused, and executes the resulting actions.
void deliver(RunState &run, std::size_t zone, scheduler::Event event, fleet::TimePoint now);

/// Pauses the zone's scheduler until `until`.
void pauseScheduler(RunState &run, std::size_t zone, fleet::TimePoint until);

/// Sends the zone's scheduler a tick and polls every worker of the zone that has received no request for a while.
void tickScheduler(RunState &run, std::size_t zone, fleet::TimePoint now);

/// Sends every zone its accounts and guarantees, which depend on the zones that are currently out.
void publishPolicy(RunState &run, fleet::TimePoint now);

/// Returns the accounts and guarantees of one zone. A guarantee applies in the first of its zones that is not out.
std::vector<scheduler::ZoneAccount> zoneAccounts(const RunState &run, std::size_t zone);

}

#endif
