#ifndef COMPONENTS_MACHINES_WAVE_REPORT_HPP
#define COMPONENTS_MACHINES_WAVE_REPORT_HPP

#include <cstdint>

namespace machines
{

/// Progress of an upkeep wave, reported to the operators.
struct WaveReport
{
    std::uint64_t m_wave = 0;
    /// True if every machine of the wave that stays in the fleet has begun its upkeep.
    bool m_isCompleted = false;

    auto operator<=>(const WaveReport &) const = default;
};

}

#endif
