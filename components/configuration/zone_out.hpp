#ifndef COMPONENTS_CONFIGURATION_ZONE_OUT_HPP
#define COMPONENTS_CONFIGURATION_ZONE_OUT_HPP

#include "components/fleet/identifiers.hpp"
#include "components/fleet/time.hpp"

#include <string>

namespace configuration
{

/// An availability zone that an operator took out of service.
struct ZoneOut
{
    fleet::ZoneId m_zone;
    fleet::OperatorId m_operator;
    std::string m_reason;
    fleet::TimePoint m_since;

    bool operator==(const ZoneOut &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(m_zone, m_operator, m_reason);
        fleet::serializeTime(archive, m_since);
    }
};

}

#endif
