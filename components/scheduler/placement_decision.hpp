#ifndef COMPONENTS_SCHEDULER_PLACEMENT_DECISION_HPP
#define COMPONENTS_SCHEDULER_PLACEMENT_DECISION_HPP

#include "components/fleet/urgency.hpp"
#include "components/placement/place.hpp"

namespace scheduler
{

/// Slot id of a gang that no guarantee covers.
constexpr int noSlot = 0;

/// Where and with which precedence an attempt at a job is made.
struct PlacementDecision
{
    placement::Assignment m_workers;
    /// Slot of the guarantee that covers the gang.
    int m_slot = noSlot;
    /// Effective urgency, after applying the account's budget.
    fleet::Urgency m_urgency = fleet::Urgency::Normal;
};

}

#endif
