#include "components/guarantees/slots.hpp"

#include <algorithm>

namespace guarantees
{

namespace
{

SlotNode *findNode(Slot &slot, int node)
{
    const auto found = std::find_if(slot.m_nodes.begin(), slot.m_nodes.end(), [node](const SlotNode &one) {
        return one.m_node == node;
    });
    return found == slot.m_nodes.end() ? nullptr : &*found;
}

/// Orders slots by difficulty: large shapes and those of narrow adjacency are the hardest to place, so they are placed first.
bool isHarderToPlace(const Slot &a, const Slot &b)
{
    const auto rank = [](const Slot &slot) {
        return std::make_tuple(slot.m_shape.m_perTask.m_accelerators, slot.m_shape.m_adjacency, slot.m_shape.total().m_accelerators);
    };
    return rank(a) > rank(b);
}

std::vector<int> unplacedByDifficulty(const Slots &slots)
{
    std::vector<int> ids;
    for (const auto &[id, slot] : slots.m_slots) {
        if (!slot.isPlaced()) {
            ids.push_back(id);
        }
    }
    std::stable_sort(ids.begin(), ids.end(), [&slots](int a, int b) {
        return isHarderToPlace(slots.m_slots.at(a), slots.m_slots.at(b));
    });
    return ids;
}

int placeUnplaced(Slots &slots)
{
    int unplaced = 0;
    for (const int id : unplacedByDifficulty(slots)) {
        const auto assignment = placement::place(slots.m_unreservedCapacity, slots.m_slots.at(id).m_shape, placement::Rule::BestFit);
        if (assignment) {
            moveTo(slots, id, *assignment);
        } else {
            ++unplaced;
        }
    }
    return unplaced;
}

/// Returns the slot to drop: an unplaced one first, then the one with the fewest tasks.
std::optional<int> leastUsefulSlot(const Slots &slots, const std::vector<int> &candidates)
{
    const auto rank = [&slots](int id) {
        const Slot &slot = slots.m_slots.at(id);
        return std::make_pair(slot.isPlaced(), slot.m_tasks);
    };
    const auto least = std::min_element(candidates.begin(), candidates.end(), [&rank](int a, int b) {
        return rank(a) < rank(b);
    });
    return least == candidates.end() ? std::nullopt : std::optional<int>(*least);
}

std::vector<int> slotsOf(const Slots &slots, const fleet::AccountId &account, const fleet::Shape &shape)
{
    std::vector<int> ids;
    for (const auto &[id, slot] : slots.m_slots) {
        if (slot.m_account == account && slot.m_shape == shape) {
            ids.push_back(id);
        }
    }
    return ids;
}

std::vector<fleet::Shape> shapesOf(const Slots &slots, const fleet::AccountId &account)
{
    std::vector<fleet::Shape> shapes;
    for (const auto &[id, slot] : slots.m_slots) {
        const bool isNew = std::find(shapes.begin(), shapes.end(), slot.m_shape) == shapes.end();
        if (slot.m_account == account && isNew) {
            shapes.push_back(slot.m_shape);
        }
    }
    return shapes;
}

}

std::vector<int> updateSlots(Slots &slots, const fleet::AccountId &account, std::vector<fleet::Shape> shapes)
{
    std::vector<int> dropped;
    for (const fleet::Shape &shape : shapesOf(slots, account)) {
        std::vector<int> ids = slotsOf(slots, account, shape);
        const auto wanted = static_cast<std::size_t>(std::count(shapes.begin(), shapes.end(), shape));
        while (ids.size() > wanted) {
            const int id = *leastUsefulSlot(slots, ids);
            unplace(slots, id);
            slots.m_slots.erase(id);
            std::erase(ids, id);
            dropped.push_back(id);
        }
    }
    while (!shapes.empty()) {
        const fleet::Shape shape = shapes.front();
        const auto wanted = static_cast<std::size_t>(std::erase(shapes, shape));
        for (std::size_t count = slotsOf(slots, account, shape).size(); count < wanted; ++count) {
            slots.m_slots.emplace(slots.m_nextId++, Slot {account, shape, {}, 0});
        }
    }
    return dropped;
}

int packUnplaced(Slots &slots)
{
    const int unplaced = placeUnplaced(slots);
    if (unplaced == 0) {
        return 0;
    }
    Slots repacked = slots;
    for (const auto &[id, slot] : slots.m_slots) {
        if (slot.isUnfilled()) {
            unplace(repacked, id);
        }
    }
    const int left = placeUnplaced(repacked);
    if (left < unplaced) {
        slots = std::move(repacked);
        return left;
    }
    return unplaced;
}

void unplace(Slots &slots, int id)
{
    Slot &slot = slots.m_slots.at(id);
    for (const SlotNode &node : slot.m_nodes) {
        placement::release(slots.m_unreservedCapacity, node.m_node, node.m_total);
    }
    slot.m_nodes.clear();
    slot.m_tasks = 0;
}

void moveTo(Slots &slots, int id, const placement::Assignment &assignment)
{
    unplace(slots, id);
    Slot &slot = slots.m_slots.at(id);
    const fleet::Resources &perTask = slot.m_shape.m_perTask;
    for (const int node : assignment) {
        placement::allocate(slots.m_unreservedCapacity, node, perTask);
        SlotNode *part = findNode(slot, node);
        if (part == nullptr) {
            part = &slot.m_nodes.emplace_back(SlotNode {node, {}, {}});
        }
        part->m_total = part->m_total + perTask;
        part->m_free = part->m_free + perTask;
    }
}

fleet::Resources unusedPart(const Slot &slot)
{
    if (!slot.isPlaced()) {
        return slot.m_shape.total();
    }
    fleet::Resources sum;
    for (const SlotNode &node : slot.m_nodes) {
        sum = sum + node.m_free;
    }
    return sum;
}

placement::Pool capacityWithoutSlot(const Slots &slots, int id)
{
    placement::Pool pool = slots.m_unreservedCapacity;
    for (const SlotNode &node : slots.m_slots.at(id).m_nodes) {
        placement::release(pool, node.m_node, node.m_total);
    }
    return pool;
}

placement::Pool capacityInSlot(const Slots &slots, int id)
{
    placement::Pool pool = slots.m_unreservedCapacity;
    for (placement::Node &node : pool.m_nodes) {
        node.m_free = {};
    }
    for (const SlotNode &node : slots.m_slots.at(id).m_nodes) {
        pool.m_nodes[node.m_node].m_free = node.m_free;
    }
    return pool;
}

void occupy(Slots &slots, int id, int node, const fleet::Resources &perTask)
{
    Slot &slot = slots.m_slots.at(id);
    SlotNode *part = findNode(slot, node);
    part->m_free = part->m_free - perTask;
    ++slot.m_tasks;
}

void vacate(Slots &slots, int id, int node, const fleet::Resources &perTask)
{
    Slot &slot = slots.m_slots.at(id);
    SlotNode *part = findNode(slot, node);
    part->m_free = part->m_free + perTask;
    --slot.m_tasks;
}

}
