#ifndef COMPONENTS_PLATFORM_INSTANCE_ENTRY_HPP
#define COMPONENTS_PLATFORM_INSTANCE_ENTRY_HPP

#include "components/fleet/identifiers.hpp"
#include "components/http/address.hpp"

namespace platform
{

/// An instance of the system as the platform's list shows it.
struct InstanceEntry
{
    fleet::InstanceId m_id;
    fleet::ZoneId m_zone;
    /// Address for calls from the other instances.
    http::Address m_address;
    bool m_leaving = false;

    bool operator==(const InstanceEntry &) const = default;
};

}

#endif
