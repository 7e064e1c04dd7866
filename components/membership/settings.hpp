#ifndef COMPONENTS_MEMBERSHIP_SETTINGS_HPP
#define COMPONENTS_MEMBERSHIP_SETTINGS_HPP

#include "components/fleet/time.hpp"

#include <cstddef>

namespace membership
{

struct Settings
{
    fleet::Duration m_heartbeatInterval = std::chrono::seconds(1);
    /// An instance that was not heard for this long, directly or by relay, is suspected.
    fleet::Duration m_suspectAfter = std::chrono::seconds(4);
    /// An instance that is neither heard nor listed is forgotten after this long.
    fleet::Duration m_forgetAfter = std::chrono::minutes(2);
    /// Up to this many instances everyone sends to everyone.
    std::size_t m_fullMeshUpTo = 12;
    /// News of other instances in one heartbeat; older ones follow in turn.
    std::size_t m_gossipPerHeartbeat = 8;
    std::size_t m_takeOutsPerHeartbeat = 8;

    bool operator==(const Settings &) const = default;
};

}

#endif
