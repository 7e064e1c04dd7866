#ifndef COMPONENTS_GUARANTEES_SLOT_NODE_HPP
#define COMPONENTS_GUARANTEES_SLOT_NODE_HPP

#include "components/fleet/resources.hpp"

namespace guarantees
{

/// The part of a slot on one node.
struct SlotNode
{
    int m_node = 0;
    /// Capacity of the node that the slot sets aside.
    fleet::Resources m_total;
    /// The part of it that covered gangs do not use.
    fleet::Resources m_free;

    bool operator==(const SlotNode &) const = default;
};

}

#endif
