#ifndef COMPONENTS_INSTANCE_STOPPING_HPP
#define COMPONENTS_INSTANCE_STOPPING_HPP

#include "components/fleet/time.hpp"
#include "components/instance/events.hpp"

namespace instance
{

struct Core;

/// A planned stop was asked for; asked for again, it ends the process at once.
void beginStop(Core &core, fleet::TimePoint now);

/// Lets time pass for the planned stop.
void tickStop(Core &core, fleet::TimePoint now);

/// Takes in the end of a handover call.
void onHandoverEnded(Core &core, const fleet::InstanceId &successor, const PeerCallEnded &event, fleet::TimePoint now);

/// True where the balancer should send nothing more.
bool isStopping(const Core &core);

/// True where the process may exit.
bool hasStopped(const Core &core);

}

#endif
