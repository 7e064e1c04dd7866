#ifndef COMPONENTS_EXPERIMENT_FREE_CAPACITY_HPP
#define COMPONENTS_EXPERIMENT_FREE_CAPACITY_HPP

#include "components/fleet/resources.hpp"
#include "components/fleet/shape.hpp"

#include <cstddef>
#include <vector>

namespace experiment
{

/// Free capacity of one worker and the index of its rack within the zone.
struct FreeWorker
{
    std::size_t m_rack = 0;
    fleet::Resources m_free;
};

std::int64_t freeAccelerators(const std::vector<FreeWorker> &workers);

/// Free accelerators that remain after the waiting shapes were packed greedily, largest first. 0 if all waiting shapes
/// fit, because then no job waits for lack of adjacent capacity.
std::int64_t unusableAccelerators(std::vector<FreeWorker> workers, std::vector<fleet::Shape> waiting);

/// Maximum number of free accelerators in one rack.
std::int64_t largestRackGang(const std::vector<FreeWorker> &workers);

}

#endif
