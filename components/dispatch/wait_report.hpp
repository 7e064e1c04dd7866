#ifndef COMPONENTS_DISPATCH_WAIT_REPORT_HPP
#define COMPONENTS_DISPATCH_WAIT_REPORT_HPP

#include "components/dispatch/wait_reason.hpp"

#include <cstdint>

namespace dispatch
{

/// Why a step waits.
struct WaitReport
{
    WaitReason m_reason = WaitReason::Unexplained;
    /// Number of tasks that fit into the free capacity of the suitable workers, whatever else keeps the step from it, and the number
    /// in the rack with the most.
    std::uint32_t m_freeSlots = 0;
    std::uint32_t m_freeSlotsInARack = 0;
    /// The free capacity is enough for the step.
    bool m_wouldFit = false;

    bool operator==(const WaitReport &) const = default;
};

}

#endif
