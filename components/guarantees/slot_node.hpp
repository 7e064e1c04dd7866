#ifndef COMPONENTS_GUARANTEES_SLOT_NODE_HPP
#define COMPONENTS_GUARANTEES_SLOT_NODE_HPP

#include "components/fleet/resources.hpp"

namespace guarantees
{

/// The part of a slot that lies on one node.
struct SlotNode
{
    int m_node = 0;
    /// What the slot sets aside here.
    fleet::Resources m_total;
    /// What covered gangs do not use of it.
    fleet::Resources m_free;

    bool operator==(const SlotNode &) const = default;
};

}

#endif
