#ifndef COMPONENTS_JOURNAL_UPKEEP_BEGUN_HPP
#define COMPONENTS_JOURNAL_UPKEEP_BEGUN_HPP

#include "components/fleet/identifiers.hpp"

#include <cstdint>

namespace journal
{

/// A machine was taken down for its upkeep in a wave.
struct UpkeepBegun
{
    std::uint64_t m_wave = 0;
    fleet::MachineId m_machine;

    bool operator==(const UpkeepBegun &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(m_wave, m_machine);
    }
};

}

#endif
