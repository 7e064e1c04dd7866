#ifndef COMPONENTS_JOURNAL_UPKEEP_ORDERED_HPP
#define COMPONENTS_JOURNAL_UPKEEP_ORDERED_HPP

#include "components/fleet/identifiers.hpp"

#include <cstdint>

namespace journal
{

/// A machine is about to be taken down for its upkeep in a wave. Stored before the order is sent, so that the next holder knows of an order
/// that is still under way.
struct UpkeepOrdered
{
    std::uint64_t m_wave = 0;
    fleet::MachineId m_machine;

    bool operator==(const UpkeepOrdered &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(m_wave, m_machine);
    }
};

}

#endif
