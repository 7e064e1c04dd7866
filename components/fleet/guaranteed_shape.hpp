#ifndef COMPONENTS_FLEET_GUARANTEED_SHAPE_HPP
#define COMPONENTS_FLEET_GUARANTEED_SHAPE_HPP

#include "components/fleet/identifiers.hpp"
#include "components/fleet/shape.hpp"

#include <vector>

namespace fleet
{

/// A shape that is guaranteed to a client account at all times, `m_count` times simultaneously.
///
/// The guarantee applies in the first availability zone of `m_zones` that operators have not taken out of service, so that each zone
/// can fulfil it without coordination with other zones.
struct GuaranteedShape
{
    Shape m_shape;
    int m_count = 1;
    std::vector<ZoneId> m_zones;

    bool operator==(const GuaranteedShape &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(m_shape, m_count, m_zones);
    }
};

}

#endif
