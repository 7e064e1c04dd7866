#ifndef COMPONENTS_PLACEMENT_POOL_HPP
#define COMPONENTS_PLACEMENT_POOL_HPP

#include "components/fleet/resources.hpp"

#include <vector>

namespace placement
{

/// Capacity of one worker. `m_free` is negative while claiming attempts are allocated beside gangs that are being stopped.
struct Node
{
    fleet::Resources m_capacity;
    fleet::Resources m_free;
    int m_rack = 0;
    /// False where no new task may be placed.
    bool m_usable = true;

    bool operator==(const Node &) const = default;
};

/// The workers of one availability zone, by index, and the workers of each rack.
struct Pool
{
    std::vector<Node> m_nodes;
    std::vector<std::vector<int>> m_racks;

    bool operator==(const Pool &) const = default;
};

/// Adds an unused node and returns its index. `rack` is an index into `m_racks`; one past the last adds a new rack.
int addNode(Pool &pool, const fleet::Resources &capacity, int rack);

void allocate(Pool &pool, int node, const fleet::Resources &amount);
void release(Pool &pool, int node, const fleet::Resources &amount);

/// Number of tasks of `perTask` that fit on the node, at most `limit`; 0 if the node is not usable.
int tasksThatFit(const Node &node, const fleet::Resources &perTask, int limit);

/// Returns the smaller of the two amounts for each resource.
fleet::Resources componentwiseMin(const fleet::Resources &a, const fleet::Resources &b);

}

#endif
