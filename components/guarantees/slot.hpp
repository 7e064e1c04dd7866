#ifndef COMPONENTS_GUARANTEES_SLOT_HPP
#define COMPONENTS_GUARANTEES_SLOT_HPP

#include "components/fleet/identifiers.hpp"
#include "components/fleet/shape.hpp"
#include "components/guarantees/slot_node.hpp"

#include <vector>

namespace guarantees
{

/// One guaranteed shape of one account and where it would run. Gangs that run inside it are covered by the guarantee.
struct Slot
{
    fleet::AccountId m_account;
    fleet::Shape m_shape;
    /// Empty where the shape has no place at present.
    std::vector<SlotNode> m_nodes;
    /// Tasks of covered gangs inside.
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
