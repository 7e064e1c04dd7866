#ifndef COMPONENTS_EXPERIMENT_FREE_CAPACITY_HPP
#define COMPONENTS_EXPERIMENT_FREE_CAPACITY_HPP

#include "components/fleet/resources.hpp"
#include "components/fleet/shape.hpp"

#include <cstddef>
#include <vector>

namespace experiment
{

/// Free capacity of one worker and the number of its rack within the zone.
struct FreeWorker
{
    std::size_t m_rack = 0;
    fleet::Resources m_free;
};

std::int64_t freeAccelerators(const std::vector<FreeWorker> &workers);

/// Free accelerators that stay unused after as many of the waiting shapes as possible were packed, largest first.
/// 0 where every waiting shape fits: then nothing waits for want of adjacent capacity.
std::int64_t unusableAccelerators(std::vector<FreeWorker> workers, std::vector<fleet::Shape> waiting);

/// Largest number of free accelerators in one rack.
std::int64_t largestRackGang(const std::vector<FreeWorker> &workers);

}

#endif
