#ifndef COMPONENTS_MEMBERSHIP_TARGETS_HPP
#define COMPONENTS_MEMBERSHIP_TARGETS_HPP

#include "components/fleet/identifiers.hpp"
#include "components/fleet/time.hpp"

#include <vector>

namespace membership
{

struct State;

/// The instances that get the next heartbeat: everyone on a small site; on a larger one those of the own zone and the
/// counterparts in every other zone.
///
/// Counterparts are symmetric where two instances agree about who is there, so that messages are echoed: instances of
/// a zone are numbered by identifier, and number a of the larger zone is paired with a modulo the size of the smaller.
std::vector<fleet::InstanceId> heartbeatTargets(const State &state, fleet::TimePoint now);

}

#endif
