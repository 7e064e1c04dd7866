#ifndef COMPONENTS_INSTANCE_STATE_TRANSFER_HPP
#define COMPONENTS_INSTANCE_STATE_TRANSFER_HPP

#include "components/fleet/time.hpp"
#include "components/instance/events.hpp"

namespace instance
{

struct Core;

/// Writes snapshots of both streams when it is this instance's turn. While the log cannot be read, fetches the state from
/// another instance if this one's is incomplete or behind.
void tickStateTransfer(Core &core, fleet::TimePoint now);

/// Returns snapshots of both streams as far as this instance has read them; UnknownRequest if either is incomplete.
PeerReply snapshotState(const Core &core);

/// Handles the end of a call that fetched the state.
void onFetchEnded(Core &core, const PeerCallEnded &event, fleet::TimePoint now);

}

#endif
