#ifndef COMPONENTS_FLEET_INCARNATION_HPP
#define COMPONENTS_FLEET_INCARNATION_HPP

#include <compare>
#include <cstdint>

namespace fleet
{

/// Identifies one run of an instance's process; drawn at random at its start. A restarted instance is a new incarnation and owns
/// nothing of the previous one.
struct Incarnation
{
    std::uint64_t m_value = 0;

    auto operator<=>(const Incarnation &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(m_value);
    }
};

}

#endif
