#ifndef COMPONENTS_MACHINES_WAVE_REPORT_HPP
#define COMPONENTS_MACHINES_WAVE_REPORT_HPP

#include <cstdint>

namespace machines
{

/// Tells the operators how far a wave of upkeep is.
struct WaveReport
{
    std::uint64_t m_wave = 0;
    /// Each machine of the wave that stays has begun its upkeep.
    bool m_isCompleted = false;

    auto operator<=>(const WaveReport &) const = default;
};

}

#endif
