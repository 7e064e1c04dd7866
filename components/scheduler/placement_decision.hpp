#ifndef COMPONENTS_SCHEDULER_PLACEMENT_DECISION_HPP
#define COMPONENTS_SCHEDULER_PLACEMENT_DECISION_HPP

#include "components/fleet/urgency.hpp"
#include "components/placement/place.hpp"

namespace scheduler
{

/// Slot number of a gang that no guarantee covers.
constexpr int noSlot = 0;

/// The decision to make an attempt at a job.
struct PlacementDecision
{
    placement::Assignment m_workers;
    /// Slot of the guarantee that covers the gang.
    int m_slot = noSlot;
    /// The urgency that counts, after the account's budget.
    fleet::Urgency m_urgency = fleet::Urgency::Normal;
};

}

#endif
