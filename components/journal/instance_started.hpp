#ifndef COMPONENTS_JOURNAL_INSTANCE_STARTED_HPP
#define COMPONENTS_JOURNAL_INSTANCE_STARTED_HPP

#include "components/fleet/identifiers.hpp"
#include "components/fleet/incarnation.hpp"

#include <cstdint>
#include <string>

namespace journal
{

/// A new incarnation of an instance started. Messages sent to the previous one are void.
struct InstanceStarted
{
    fleet::InstanceId m_instance;
    fleet::Incarnation m_incarnation;
    fleet::ZoneId m_zone;
    /// UDP address for messages from other instances: IP address and port.
    std::string m_peerAddress;
    /// Other instances sign their messages to this incarnation with this key.
    std::string m_peerKey;
    /// Processor time available to the instance, in thousandths of a core.
    std::uint32_t m_milliCores = 0;

    bool operator==(const InstanceStarted &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(m_instance, m_incarnation, m_zone, m_peerAddress, m_peerKey, m_milliCores);
    }
};

}

#endif
