#ifndef COMPONENTS_GUARANTEES_SLOTS_HPP
#define COMPONENTS_GUARANTEES_SLOTS_HPP

#include "components/fleet/identifiers.hpp"
#include "components/guarantees/slot.hpp"
#include "components/placement/place.hpp"

#include <map>
#include <optional>
#include <vector>

namespace guarantees
{

/// Slots for all guaranteed shapes of the zone, placed together as if no borrowers ran.
///
/// Covered gangs run inside the slots of their account, and every other gang may be preempted. So all guaranteed shapes
/// with a placed slot can run at the same time.
struct Slots
{
    std::map<int, Slot> m_slots;
    int m_nextId = 1;
    /// Capacity minus what slots set aside. No resource is negative, except where a worker's capacity shrank.
    placement::Pool m_unreservedCapacity;

    bool operator==(const Slots &) const = default;
};

/// Makes the account's slots match the shapes. Drops unplaced and unfilled slots before slots in use. Returns the ids of
/// the dropped slots.
std::vector<int> updateSlots(Slots &slots, const fleet::AccountId &account, std::vector<fleet::Shape> shapes);

/// Places the unplaced slots; if not all fit, tries to place all unfilled slots again from scratch. Returns the number of
/// slots that stay unplaced.
int packUnplaced(Slots &slots);

/// Removes the slot from its nodes.
void unplace(Slots &slots, int id);
/// Moves an unfilled slot to the given nodes, one for each task of its shape.
void moveTo(Slots &slots, int id, const placement::Assignment &assignment);

/// Returns the part of the slot that covered gangs do not use; the whole shape if the slot is not placed.
fleet::Resources unusedPart(const Slot &slot);

/// Returns the capacity to which the slot could move: everything that no other slot sets aside.
placement::Pool capacityWithoutSlot(const Slots &slots, int id);
/// Returns the free capacity inside the slot, as a pool in which all other nodes have nothing free.
placement::Pool capacityInSlot(const Slots &slots, int id);

/// Adds one task of a covered gang to the slot, or removes it.
void occupy(Slots &slots, int id, int node, const fleet::Resources &perTask);
void vacate(Slots &slots, int id, int node, const fleet::Resources &perTask);

}

#endif
