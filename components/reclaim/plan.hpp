#ifndef COMPONENTS_RECLAIM_PLAN_HPP
#define COMPONENTS_RECLAIM_PLAN_HPP

#include "components/placement/place.hpp"

#include <vector>

namespace reclaim
{

/// Victims to stop, and the nodes on which the shape runs afterwards.
struct Plan
{
    placement::Assignment m_assignment;
    /// Indexes into the given victims, ascending.
    std::vector<std::size_t> m_victims;
    /// Work lost, in accelerator seconds.
    double m_cost = 0;

    bool operator==(const Plan &) const = default;
};

}

#endif
