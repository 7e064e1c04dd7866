#ifndef COMPONENTS_MACHINES_UPKEEP_OUTCOME_HPP
#define COMPONENTS_MACHINES_UPKEEP_OUTCOME_HPP

#include <cstdint>

namespace machines
{

/// What is known of an order for a machine's upkeep.
enum class UpkeepOutcome : std::uint8_t {
    /// The upkeep began, now or before.
    Begun,
    /// The platform has seen a higher fencing token for the machine.
    Fenced,
    /// The machine is not up, or is leaving. Nothing was done.
    Busy,
    /// There is no such machine, or it is not of the wave.
    NotInWave,
    /// The platform did nothing and said so.
    Refused,
    /// No answer; the order may have been carried out.
    Unknown,
};

}

#endif
