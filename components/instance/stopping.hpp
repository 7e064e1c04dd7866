#ifndef COMPONENTS_INSTANCE_STOPPING_HPP
#define COMPONENTS_INSTANCE_STOPPING_HPP

#include "components/fleet/time.hpp"
#include "components/instance/events.hpp"

namespace instance
{

struct Core;

/// Begins the planned stop. A second request ends the process immediately.
void beginStop(Core &core, fleet::TimePoint now);

/// Lets time pass for the planned stop.
void tickStop(Core &core, fleet::TimePoint now);

/// Handles the end of a handover call.
void onHandoverEnded(Core &core, const fleet::InstanceId &successor, const PeerCallEnded &event, fleet::TimePoint now);

/// True if the load balancer should send no more calls here.
bool isStopping(const Core &core);

/// True if the process may exit.
bool hasStopped(const Core &core);

}

#endif
