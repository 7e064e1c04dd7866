#ifndef COMPONENTS_MEMBERSHIP_MERGE_HPP
#define COMPONENTS_MEMBERSHIP_MERGE_HPP

#include "components/fleet/time.hpp"
#include "components/membership/events.hpp"

namespace membership
{

struct State;

/// Takes in a heartbeat and the news that it carries.
void mergeHeartbeat(State &state, const Heartbeat &heartbeat, fleet::TimePoint now);

/// Takes in the platform's list. A list that is older than one that was read only adds what is leaving.
void mergeList(State &state, const ListRead &list, fleet::TimePoint now);

}

#endif
