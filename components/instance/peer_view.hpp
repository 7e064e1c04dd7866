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

/// Feeds one event to the membership component and sends the resulting heartbeats.
void feedMembership(Core &core, const membership::Event &event, fleet::TimePoint now);

/// Lets time pass for the membership and for the state that depends on it.
void tickPeers(Core &core, fleet::TimePoint now);

/// Handles a datagram. It is dropped unless it is an authentic heartbeat that was not received before.
void onDatagramReceived(Core &core, const DatagramReceived &event, fleet::TimePoint now);

/// Passes the instances of the platform's list to the membership component.
void updateListedPeers(Core &core, const platform::PlatformList &list, fleet::TimePoint now);

/// Returns the address of another instance; absent if it is unknown.
std::optional<http::Address> findAddress(const Core &core, const fleet::InstanceId &instance);

}

#endif
