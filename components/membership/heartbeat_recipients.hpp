#ifndef COMPONENTS_MEMBERSHIP_HEARTBEAT_RECIPIENTS_HPP
#define COMPONENTS_MEMBERSHIP_HEARTBEAT_RECIPIENTS_HPP

#include "components/fleet/identifiers.hpp"
#include "components/fleet/time.hpp"

#include <vector>

namespace membership
{

struct State;

/// Returns the instances that receive the next heartbeat: all of them on a small site; on a larger one those of the own zone
/// and the counterparts in every other zone.
///
/// Counterparts are symmetric as long as two instances have the same view of the members, so that heartbeats are echoed. The
/// instances of a zone are numbered by identifier, and number a of the larger zone is paired with number a modulo the size of
/// the smaller one.
std::vector<fleet::InstanceId> heartbeatRecipients(const State &state, fleet::TimePoint now);

}

#endif
