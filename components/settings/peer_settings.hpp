#ifndef COMPONENTS_SETTINGS_PEER_SETTINGS_HPP
#define COMPONENTS_SETTINGS_PEER_SETTINGS_HPP

#include "components/fleet/identifiers.hpp"
#include "components/settings/endpoint.hpp"

namespace settings
{

/// Another instance that is contacted first at start. Further ones are discovered through the platform's list and heartbeats.
struct PeerSettings
{
    fleet::InstanceId m_instance;
    fleet::ZoneId m_zone;
    /// UDP heartbeats and TCP forwarding use the same port number.
    Endpoint m_endpoint;

    bool operator==(const PeerSettings &) const = default;
};

}

#endif
