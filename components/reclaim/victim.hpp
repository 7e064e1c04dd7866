#ifndef COMPONENTS_RECLAIM_VICTIM_HPP
#define COMPONENTS_RECLAIM_VICTIM_HPP

#include "components/fleet/resources.hpp"
#include "components/placement/place.hpp"

namespace reclaim
{

/// A gang that may be preempted. All of its tasks are stopped or none.
struct Victim
{
    /// Node of each task that still holds resources.
    placement::Assignment m_nodes;
    fleet::Resources m_perTask;
    /// Work lost by stopping the gang, in accelerator seconds weighted by urgency.
    double m_cost = 0;

    bool operator==(const Victim &) const = default;
};

}

#endif
