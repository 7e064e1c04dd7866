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

/// The system's stream was read to its end: says who holds the duty of this zone.
void onHolderRead(Core &core, fleet::TimePoint now);

/// Feeds one event to the duty slice and carries out what it decides.
void feedDuty(Core &core, const duty::Event &event, fleet::TimePoint now);

/// Feeds one event to the zone's scheduler, if this instance runs it, and carries out the actions.
void feedScheduler(Core &core, const scheduler::Event &event, fleet::TimePoint now);

void onWorkerMessageEnded(Core &core, const WorkerMessageEnded &event, fleet::TimePoint now);

/// Tells the scheduler of workers that were listed, changed or removed.
void refreshWorkers(Core &core, const platform::PlatformList &list, fleet::TimePoint now);

}

#endif
