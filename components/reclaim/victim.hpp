#ifndef COMPONENTS_RECLAIM_VICTIM_HPP
#define COMPONENTS_RECLAIM_VICTIM_HPP

#include "components/fleet/resources.hpp"
#include "components/placement/place.hpp"

namespace reclaim
{

/// A gang that may be stopped to make room. It is stopped whole or not at all.
struct Victim
{
    /// Node of each task that still holds resources.
    placement::Assignment m_nodes;
    fleet::Resources m_perTask;
    /// Work lost by stopping it, in accelerator seconds.
    double m_cost = 0;

    bool operator==(const Victim &) const = default;
};

}

#endif
