#ifndef COMPONENTS_JOURNAL_INSTANCE_RECORD_HPP
#define COMPONENTS_JOURNAL_INSTANCE_RECORD_HPP

#include "components/fleet/identifiers.hpp"
#include "components/fleet/incarnation.hpp"

#include <cstdint>
#include <string>

namespace journal
{

/// The newest incarnation of one instance.
struct InstanceRecord
{
    fleet::Incarnation m_incarnation;
    fleet::ZoneId m_zone;
    std::string m_peerAddress;
    std::string m_peerKey;
    /// Processor time available to the instance, in thousandths of a core.
    std::uint32_t m_milliCores = 0;

    bool operator==(const InstanceRecord &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(m_incarnation, m_zone, m_peerAddress, m_peerKey, m_milliCores);
    }
};

}

#endif
