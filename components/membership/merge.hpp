#ifndef COMPONENTS_MEMBERSHIP_MERGE_HPP
#define COMPONENTS_MEMBERSHIP_MERGE_HPP

#include "components/fleet/time.hpp"
#include "components/membership/events.hpp"

namespace membership
{

struct State;

/// Merges a heartbeat and the gossip that it carries into the state.
void mergeHeartbeat(State &state, const Heartbeat &heartbeat, fleet::TimePoint now);

/// Merges the platform's list into the state. A list that is not newer than the last one does not change which instances are
/// listed, but its leaving marks still count.
void mergeList(State &state, const ListRead &list, fleet::TimePoint now);

}

#endif
