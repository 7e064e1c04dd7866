#ifndef COMPONENTS_GUARANTEES_SLOT_HPP
#define COMPONENTS_GUARANTEES_SLOT_HPP

#include "components/fleet/identifiers.hpp"
#include "components/fleet/shape.hpp"
#include "components/guarantees/slot_node.hpp"

#include <vector>

namespace guarantees
{

/// One guaranteed shape of one account and the nodes set aside for it. The guarantee covers the gangs that run inside.
struct Slot
{
    fleet::AccountId m_account;
    fleet::Shape m_shape;
    /// Empty while the slot is not placed.
    std::vector<SlotNode> m_nodes;
    /// Number of tasks of covered gangs inside the slot.
    int m_tasks = 0;

    bool operator==(const Slot &) const = default;

    bool isPlaced() const
    {
        return !m_nodes.empty();
    }

    bool isUnfilled() const
    {
        return m_tasks == 0;
    }
};

}

#endif
