#ifndef COMPONENTS_EXPERIMENT_ZONE_LOOP_HPP
#define COMPONENTS_EXPERIMENT_ZONE_LOOP_HPP

#include "components/scheduler/events.hpp"

#include <cstddef>

namespace experiment
{

struct RunState;

/// Gives the event to the zone's scheduler, after the pause where it is paused, and carries out its actions.
void deliver(RunState &run, std::size_t zone, scheduler::Event event, fleet::TimePoint now);

/// Pauses the zone's scheduler until `until`.
void pauseScheduler(RunState &run, std::size_t zone, fleet::TimePoint until);

/// Asks every worker of the zone that was not asked for a while, and gives the scheduler its tick.
void tickScheduler(RunState &run, std::size_t zone, fleet::TimePoint now);

/// Sends every zone its accounts, with guarantees pinned by the zones that are out at present.
void publishPolicy(RunState &run, fleet::TimePoint now);

/// Entitlements in one zone: each guarantee is pinned to the first of its zones that is not out.
std::vector<scheduler::ZoneAccount> zoneAccounts(const RunState &run, std::size_t zone);

}

#endif
