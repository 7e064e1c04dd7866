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

/// Keeps a place for every guaranteed shape of the zone, all at once, as if borrowers were not there.
///
/// Covered gangs run inside the slots of their account, and everything else may be stopped. So the placed slots
/// are themselves the proof that all unfilled guaranteed shapes pack together.
struct Slots
{
    std::map<int, Slot> m_slots;
    int m_nextId = 1;
    /// Capacity less what slots set aside. Never negative in any part, but where a worker's capacity shrank.
    placement::Pool m_unreservedCapacity;

    bool operator==(const Slots &) const = default;
};

/// Makes the account's slots match the shapes: slots in use are kept first. Returns the slots dropped.
std::vector<int> updateSlots(Slots &slots, const fleet::AccountId &account, std::vector<fleet::Shape> shapes);

/// Places the unplaced slots; where they do not fit, packs all unfilled slots anew. Returns how many stay unplaced.
int packUnplaced(Slots &slots);

/// Takes the slot off its nodes.
void unplace(Slots &slots, int id);
/// Moves an unfilled slot to the nodes given, one for each task of its shape.
void moveTo(Slots &slots, int id, const placement::Assignment &assignment);

/// What covered gangs do not use of the slot; its whole shape where it has no place.
fleet::Resources unusedPart(const Slot &slot);

/// Room for the slot if it were moved: what no other slot sets aside.
placement::Pool capacityWithoutSlot(const Slots &slots, int id);
/// What is left inside the slot, as a pool in which all other nodes are not usable.
placement::Pool capacityInSlot(const Slots &slots, int id);

/// Puts one task of a covered gang into the slot, or takes it out.
void occupy(Slots &slots, int id, int node, const fleet::Resources &perTask);
void vacate(Slots &slots, int id, int node, const fleet::Resources &perTask);

}

#endif
