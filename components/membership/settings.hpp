#ifndef COMPONENTS_MEMBERSHIP_SETTINGS_HPP
#define COMPONENTS_MEMBERSHIP_SETTINGS_HPP

#include "components/fleet/time.hpp"

#include <cstddef>

namespace membership
{

struct Settings
{
    fleet::Duration m_heartbeatInterval = std::chrono::seconds(1);
    /// An instance is suspected if no information about it has arrived for this long, directly or by relay.
    fleet::Duration m_suspectAfter = std::chrono::seconds(4);
    /// An instance that is neither heard from nor listed is removed after this time.
    fleet::Duration m_forgetAfter = std::chrono::minutes(2);
    /// With up to this many instances, every instance sends heartbeats to every other.
    std::size_t m_fullMeshUpTo = 12;
    /// Maximum number of gossip entries in one heartbeat; the others follow in turn.
    std::size_t m_gossipPerHeartbeat = 8;
    std::size_t m_takeOutsPerHeartbeat = 8;

    bool operator==(const Settings &) const = default;
};

}

#endif
