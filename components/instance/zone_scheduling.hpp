#ifndef COMPONENTS_INSTANCE_ZONE_SCHEDULING_HPP
#define COMPONENTS_INSTANCE_ZONE_SCHEDULING_HPP

#include "components/duty/events.hpp"
#include "components/fleet/time.hpp"
#include "components/instance/events.hpp"
#include "components/scheduler/events.hpp"

namespace platform
{
struct PlatformList;
}

namespace instance
{

struct Core;

/// Lets time pass for the duty, the scheduler and the messages to workers.
void tickScheduling(Core &core, fleet::TimePoint now);

/// Handles a read that reached the end of the system stream: passes the holder of this zone's duty to the duty component.
void onHolderRead(Core &core, fleet::TimePoint now);

/// Feeds one event to the duty component and carries out its actions.
void feedDuty(Core &core, const duty::Event &event, fleet::TimePoint now);

/// Feeds one event to the zone's scheduler, if this instance runs it, and carries out its actions.
void feedScheduler(Core &core, const scheduler::Event &event, fleet::TimePoint now);

void onWorkerMessageEnded(Core &core, const WorkerMessageEnded &event, fleet::TimePoint now);

/// Notifies the scheduler of workers that were added, changed or removed.
void refreshWorkers(Core &core, const platform::PlatformList &list, fleet::TimePoint now);

}

#endif
