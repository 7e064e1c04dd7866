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

/// Finds a node for every task of the shape, adjacency included, or nothing. The pool is not changed.
std::optional<Assignment> place(const Pool &pool, const fleet::Shape &shape, Rule rule);

/// True where the shape fits on the nodes given, which are of one rack where the shape asks for one.
bool fitsOn(const Pool &pool, const std::vector<int> &nodes, const fleet::Shape &shape);

/// Takes the resources of every task of an assignment from the pool.
void allocate(Pool &pool, const Assignment &assignment, const fleet::Resources &perTask);
/// Gives the resources of every task of an assignment back to the pool.
void release(Pool &pool, const Assignment &assignment, const fleet::Resources &perTask);

}

#endif
