#ifndef COMPONENTS_DISPATCH_RESERVATION_HPP
#define COMPONENTS_DISPATCH_RESERVATION_HPP

#include "components/fleet/boot_time.hpp"
#include "components/fleet/identifiers.hpp"
#include "components/fleet/resources.hpp"

#include <map>

namespace dispatch
{

/// Capacity that is reserved for a step while runs end or are stopped for it.
struct Reservation
{
    std::map<fleet::WorkerId, fleet::Resources> m_resources;
    fleet::BootTime m_until;
    /// When the runs in its place should have ended. Until then, other steps may use the capacity if they are done by then.
    fleet::BootTime m_expectedAt;
    /// Runs are being stopped for the step. Otherwise the step waits for runs to end by themselves.
    bool m_awaitsStops = false;
    /// Rank of the step. Steps with a lower rank may still take the capacity.
    int m_rank = 0;
    /// All of it is in one rack, since the step required that.
    bool m_isInOneRack = false;
};

}

#endif
