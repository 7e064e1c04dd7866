#ifndef COMPONENTS_INSTANCE_STATE_COPIES_HPP
#define COMPONENTS_INSTANCE_STATE_COPIES_HPP

#include "components/fleet/time.hpp"
#include "components/instance/events.hpp"

namespace instance
{

struct Core;

/// Writes snapshots of both streams where it is this instance's turn, and asks another instance for the state while the
/// log cannot be read and the other knows more.
void tickCopies(Core &core, fleet::TimePoint now);

/// Both streams as far as this instance has read them; UnknownRequest where it has read neither whole.
PeerReply copyState(const Core &core);

/// Takes in the end of a call for the state.
void endFetch(Core &core, const PeerCallEnded &event, fleet::TimePoint now);

}

#endif
