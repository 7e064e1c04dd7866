#include "components/guarantees/slots.hpp"

#include <rapidcheck.h>

#include <criterion/criterion.h>

namespace
{

constexpr fleet::Resources worker {8000, 8000, 8};
const fleet::AccountId account("a");
const fleet::Shape wholeRack {2, worker, fleet::Adjacency::SameRack};
const fleet::Shape oneEach {1, {1000, 1000, 1}, fleet::Adjacency::SameZone};

/// Three racks of two workers.
guarantees::Slots makeSlots()
{
    guarantees::Slots slots;
    for (int index = 0; index < 6; ++index) {
        placement::addNode(slots.m_unreservedCapacity, worker, index / 2);
    }
    return slots;
}

bool isCapacityNonNegative(const guarantees::Slots &slots)
{
    for (const placement::Node &node : slots.m_unreservedCapacity.m_nodes) {
        if (!fleet::Resources {}.fitsIn(node.m_free)) {
            return false;
        }
    }
    return true;
}

}

Test(slots, smallSlotsSpreadOverRacks_wholeRack_isPlacedByRepacking)
{
    guarantees::Slots slots = makeSlots();
    guarantees::updateSlots(slots, account, {oneEach, oneEach, oneEach});
    guarantees::moveTo(slots, 1, {0});
    guarantees::moveTo(slots, 2, {2});
    guarantees::moveTo(slots, 3, {4});
    guarantees::updateSlots(slots, account, {oneEach, oneEach, oneEach, wholeRack, wholeRack});
    cr_assert_eq(guarantees::packUnplaced(slots), 0);
    cr_assert(isCapacityNonNegative(slots));
}

Test(slots, moreThanTheZoneHolds_pack_leavesTheRestUnplaced)
{
    guarantees::Slots slots = makeSlots();
    guarantees::updateSlots(slots, account, std::vector<fleet::Shape>(4, wholeRack));
    cr_assert_eq(guarantees::packUnplaced(slots), 1);
    cr_assert(isCapacityNonNegative(slots));
}

Test(slots, fewerShapes_updateSlots_dropsUnfilledSlotsFirst)
{
    guarantees::Slots slots = makeSlots();
    guarantees::updateSlots(slots, account, {oneEach, oneEach});
    guarantees::packUnplaced(slots);
    guarantees::occupy(slots, 1, slots.m_slots.at(1).m_nodes.front().m_node, oneEach.m_perTask);
    const std::vector<int> dropped = guarantees::updateSlots(slots, account, {oneEach});
    cr_assert((dropped == std::vector<int> {2}));
    cr_assert(slots.m_slots.contains(1));
}

Test(slots, anyGuarantees_unreservedCapacity_isNeverNegative)
{
    const bool holds = rc::check([] {
        guarantees::Slots slots = makeSlots();
        for (int round = 0; round < 4; ++round) {
            const auto shapes = *rc::gen::container<std::vector<fleet::Shape>>(*rc::gen::inRange(0, 8), rc::gen::element(oneEach, wholeRack));
            guarantees::updateSlots(slots, account, shapes);
            guarantees::packUnplaced(slots);
            RC_ASSERT(isCapacityNonNegative(slots));
            RC_ASSERT(slots.m_slots.size() == shapes.size());
        }
    });
    cr_assert(holds);
}
