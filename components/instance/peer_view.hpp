#ifndef COMPONENTS_INSTANCE_PEER_VIEW_HPP
#define COMPONENTS_INSTANCE_PEER_VIEW_HPP

#include "components/fleet/time.hpp"
#include "components/http/address.hpp"
#include "components/instance/events.hpp"
#include "components/membership/events.hpp"

#include <optional>

namespace instance
{

struct Core;

/// Feeds one event to the membership slice and sends the heartbeats.
void feedMembership(Core &core, const membership::Event &event, fleet::TimePoint now);

/// Lets time pass for the membership and for what depends on it.
void tickPeers(Core &core, fleet::TimePoint now);

/// Takes in a datagram. One that is not an authentic new heartbeat is dropped.
void onDatagramReceived(Core &core, const DatagramReceived &event, fleet::TimePoint now);

/// Tells the membership what the platform's list shows.
void updateListedPeers(Core &core, const platform::PlatformList &list, fleet::TimePoint now);

/// Where another instance is reached; absent where it is not known.
std::optional<http::Address> findAddress(const Core &core, const fleet::InstanceId &instance);

}

#endif
