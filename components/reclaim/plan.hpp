#ifndef COMPONENTS_RECLAIM_PLAN_HPP
#define COMPONENTS_RECLAIM_PLAN_HPP

#include "components/placement/place.hpp"

#include <vector>

namespace reclaim
{

/// Which victims to stop, and where the shape runs after that.
struct Plan
{
    placement::Assignment m_assignment;
    /// Indexes into the victims given, in order.
    std::vector<std::size_t> m_victims;
    /// Work lost, in accelerator seconds.
    double m_cost = 0;

    bool operator==(const Plan &) const = default;
};

}

#endif
