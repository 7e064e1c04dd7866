#ifndef COMPONENTS_DISPATCH_MACHINE_UPKEEP_HPP
#define COMPONENTS_DISPATCH_MACHINE_UPKEEP_HPP

#include "components/fleet/boot_time.hpp"

#include <cstdint>

namespace dispatch
{

enum class UpkeepPhase : std::uint8_t {
    Waiting,
    /// The machine gets no new runs; its current runs may end by themselves for a while before they are stopped.
    Draining,
    /// No run is left. The journal has to store that the machine is ordered down before an order is sent.
    Recording,
    /// The upkeep order is sent, also by an earlier holder, and may have been carried out.
    Ordered,
    /// The upkeep has begun, and the machine's next worker is not listed yet.
    Down,
    /// The machine is back, or did not come back in time.
    Over,
};

/// Progress of the upkeep of one machine in a wave.
struct MachineUpkeep
{
    UpkeepPhase m_phase = UpkeepPhase::Waiting;
    fleet::BootTime m_since;
    /// Draining: time at which the remaining runs are stopped.
    fleet::BootTime m_stopAt;
    bool m_isOrderOpen = false;
    fleet::BootTime m_nextOrderAt;
    /// Start time of the worker that the machine had when the latest order was sent, in milliseconds since 1970.
    std::int64_t m_previousStartMs = 0;
    /// An order without an answer, or one of an earlier holder, may have begun the upkeep. The worker's start time then does not show whether
    /// the machine is back.
    bool m_mayHaveBegun = false;
};

}

#endif
