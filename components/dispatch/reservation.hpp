#ifndef COMPONENTS_DISPATCH_RESERVATION_HPP
#define COMPONENTS_DISPATCH_RESERVATION_HPP

#include "components/fleet/boot_time.hpp"
#include "components/fleet/identifiers.hpp"
#include "components/fleet/resources.hpp"

#include <map>

namespace dispatch
{

/// Room that is being made for a step; others don't get it.
struct Reservation
{
    std::map<fleet::WorkerId, fleet::Resources> m_resources;
    fleet::BootTime m_until;
    /// Rank of the step; steps that go before it may take the room.
    int m_rank = 0;
};

}

#endif
