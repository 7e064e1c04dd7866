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

/// The state at one offset of the journal, so that the records before it may expire.
struct Snapshot
{
    JournalState m_state;
    /// Offset of the first record that is not in the state.
    std::uint64_t m_next = 0;

    bool operator==(const Snapshot &) const = default;
};

/// Cuts a snapshot into records of a keyed topic. `slot` alternates between two, so that the one before stays whole until
/// the new one is stored; the last record names the slot that counts.
std::vector<store::KeyedRecord> encodeSnapshot(const JournalState &state, std::uint64_t next, unsigned slot);

/// The newest whole snapshot among the records of the topic; nothing where there is none.
std::optional<Snapshot> assembleSnapshot(const std::vector<store::KeyedRecord> &records);

}

#endif
