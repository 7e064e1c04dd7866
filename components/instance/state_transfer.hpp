#ifndef COMPONENTS_INSTANCE_STATE_TRANSFER_HPP
#define COMPONENTS_INSTANCE_STATE_TRANSFER_HPP

#include "components/fleet/time.hpp"
#include "components/instance/events.hpp"

namespace instance
{

struct Core;

/// Writes snapshots of both streams where it is this instance's turn, and asks another instance for the state while the
/// log cannot be read and the other knows more.
void tickStateTransfer(Core &core, fleet::TimePoint now);

/// Both streams as far as this instance has read them; UnknownRequest where it has read neither whole.
PeerReply snapshotState(const Core &core);

/// Takes in the end of a call for the state.
void onFetchEnded(Core &core, const PeerCallEnded &event, fleet::TimePoint now);

}

#endif
