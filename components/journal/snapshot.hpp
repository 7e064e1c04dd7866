#ifndef COMPONENTS_JOURNAL_SNAPSHOT_HPP
#define COMPONENTS_JOURNAL_SNAPSHOT_HPP

#include "components/journal/journal_state.hpp"
#include "components/store/keyed_record.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace journal
{

/// The journal state at one offset of the journal. Records before this offset may expire.
struct Snapshot
{
    JournalState m_state;
    /// Offset of the first record that is not included in the state.
    std::uint64_t m_next = 0;

    bool operator==(const Snapshot &) const = default;
};

/// Returns the slot that a holder uses after this one.
unsigned nextSlot(unsigned slot);

/// Splits a snapshot into records of a keyed topic. `slot` must not be the one that newestSlot() returns, so that the previous snapshot stays
/// complete until the new one is stored; the last record names the slot of the newest snapshot.
std::vector<store::KeyedRecord> encodeSnapshot(const JournalState &state, std::uint64_t next, unsigned slot);

/// Returns the slot that the head record names; nothing if there is none, or if it is unreadable.
std::optional<unsigned> newestSlot(const std::vector<store::KeyedRecord> &records);

/// Returns the snapshot that the head record names, or nothing if it is missing, incomplete or unreadable.
std::optional<Snapshot> assembleSnapshot(const std::vector<store::KeyedRecord> &records);

}

#endif
