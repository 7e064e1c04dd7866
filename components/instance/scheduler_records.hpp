#ifndef COMPONENTS_INSTANCE_SCHEDULER_RECORDS_HPP
#define COMPONENTS_INSTANCE_SCHEDULER_RECORDS_HPP

#include "components/fleet/time.hpp"
#include "components/scheduler/actions.hpp"
#include "components/scheduler/events.hpp"

#include <vector>

namespace instance
{

struct Core;

/// Sends the records of what the scheduler decided and makes the commands that depend on them wait. Commands are left
/// to the caller, since they follow once every record of the step has its number.
void recordDecisions(Core &core, const std::vector<scheduler::Action> &actions, fleet::TimePoint now);

/// The events that build a scheduler of this zone from the ledger.
std::vector<scheduler::Event> rebuildEvents(const Core &core);

}

#endif
