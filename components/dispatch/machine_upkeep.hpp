#ifndef COMPONENTS_DISPATCH_MACHINE_UPKEEP_HPP
#define COMPONENTS_DISPATCH_MACHINE_UPKEEP_HPP

#include "components/fleet/boot_time.hpp"

#include <cstdint>

namespace dispatch
{

enum class UpkeepPhase : std::uint8_t {
    Waiting,
    /// New runs are kept away, and those on it may end for a while before they are stopped.
    Draining,
    /// The order was sent; it may have been carried out.
    Ordered,
    /// The upkeep has begun, and the machine's next worker is not there yet.
    Down,
    /// Back, or gone for good.
    Over,
};

/// Where one machine stands in the upkeep of a wave.
struct MachineUpkeep
{
    UpkeepPhase m_phase = UpkeepPhase::Waiting;
    fleet::BootTime m_since;
    /// Emptying: the runs are stopped then.
    fleet::BootTime m_stopAt;
    bool m_isOrderOpen = false;
    fleet::BootTime m_nextOrderAt;
    /// Life of the worker that the machine had when the order was sent, in milliseconds since 1970.
    std::int64_t m_bornBefore = 0;
};

}

#endif
