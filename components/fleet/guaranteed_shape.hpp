#ifndef COMPONENTS_FLEET_GUARANTEED_SHAPE_HPP
#define COMPONENTS_FLEET_GUARANTEED_SHAPE_HPP

#include "components/fleet/identifiers.hpp"
#include "components/fleet/shape.hpp"

#include <vector>

namespace fleet
{

/// A shape that a client account may always have, `m_count` times over at once.
///
/// It is pinned to the first availability zone of `m_zones` that operators have not taken out, so that each
/// zone can honour it without asking another.
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
