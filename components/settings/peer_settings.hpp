#ifndef COMPONENTS_SETTINGS_PEER_SETTINGS_HPP
#define COMPONENTS_SETTINGS_PEER_SETTINGS_HPP

#include "components/fleet/identifiers.hpp"
#include "components/settings/endpoint.hpp"

namespace settings
{

/// Another instance that is asked first when this one starts; more are learned from the platform's list and heartbeats.
struct PeerSettings
{
    fleet::InstanceId m_instance;
    fleet::ZoneId m_zone;
    /// UDP heartbeats and TCP forwarding share the number.
    Endpoint m_endpoint;

    bool operator==(const PeerSettings &) const = default;
};

}

#endif
