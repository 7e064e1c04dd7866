#ifndef COMPONENTS_INSTANCE_SCHEDULER_RECORDS_HPP
#define COMPONENTS_INSTANCE_SCHEDULER_RECORDS_HPP

#include "components/fleet/time.hpp"
#include "components/scheduler/actions.hpp"
#include "components/scheduler/events.hpp"

#include <vector>

namespace instance
{

struct Core;

/// Appends the records of the scheduler's decisions and delays the commands that depend on them. The caller sends the commands
/// afterwards, once every record of the step has its ticket.
void recordDecisions(Core &core, const std::vector<scheduler::Action> &actions, fleet::TimePoint now);

/// Returns the events that rebuild the scheduler of this zone from the job table.
std::vector<scheduler::Event> rebuildEvents(const Core &core);

}

#endif
