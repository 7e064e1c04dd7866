#ifndef COMPONENTS_MACHINES_UPKEEP_OUTCOME_HPP
#define COMPONENTS_MACHINES_UPKEEP_OUTCOME_HPP

#include <cstdint>

namespace machines
{

/// Outcome of an upkeep order, as far as it is known.
enum class UpkeepOutcome : std::uint8_t {
    /// The upkeep began, through this order or an earlier copy of it.
    Begun,
    /// The platform has seen a higher fencing token for the machine.
    Fenced,
    /// The machine is not up, or is leaving. Nothing was done.
    Busy,
    /// The machine does not exist or is not part of the wave.
    NotInWave,
    /// The platform answered that it did nothing.
    Refused,
    /// No answer; the order may have been carried out.
    Unknown,
};

}

#endif
