#ifndef COMPONENTS_PLACEMENT_PLACE_HPP
#define COMPONENTS_PLACEMENT_PLACE_HPP

#include "components/fleet/shape.hpp"
#include "components/placement/pool.hpp"

#include <optional>
#include <vector>

namespace placement
{

/// Node of each task, by task number.
using Assignment = std::vector<int>;

/// How a node is chosen among those that fit.
enum class Rule {
    /// The first nodes that fit, by index.
    FirstFit,
    /// The fullest racks and nodes that fit, so that whole racks and workers stay free for large gangs.
    BestFit,
};

/// Finds a node for every task of the shape, as its adjacency requires. Returns nothing if it does not fit.
std::optional<Assignment> place(const Pool &pool, const fleet::Shape &shape, Rule rule);

/// True if the shape fits on the given nodes. For a shape of adjacency SameRack all of them must be in one rack.
bool fitsOn(const Pool &pool, const std::vector<int> &nodes, const fleet::Shape &shape);

/// Allocates the resources of every task of an assignment in the pool.
void allocate(Pool &pool, const Assignment &assignment, const fleet::Resources &perTask);
/// Releases the resources of every task of an assignment in the pool.
void release(Pool &pool, const Assignment &assignment, const fleet::Resources &perTask);

}

#endif
