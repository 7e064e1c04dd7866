#ifndef COMPONENTS_JOURNAL_INSTANCE_STARTED_HPP
#define COMPONENTS_JOURNAL_INSTANCE_STARTED_HPP

#include "components/fleet/identifiers.hpp"
#include "components/fleet/incarnation.hpp"

#include <cstdint>
#include <string>

namespace journal
{

/// A new incarnation of an instance; what was told to the one before is void.
struct InstanceStarted
{
    fleet::InstanceId m_instance;
    fleet::Incarnation m_incarnation;
    fleet::ZoneId m_zone;
    /// Where other instances reach it by UDP, IP number and port.
    std::string m_peerAddress;
    /// Others sign what they send to this incarnation with it.
    std::string m_peerKey;
    /// Processor time that the instance has, in thousandths of a core.
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
