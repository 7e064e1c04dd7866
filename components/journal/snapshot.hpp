#ifndef COMPONENTS_JOURNAL_SNAPSHOT_HPP
#define COMPONENTS_JOURNAL_SNAPSHOT_HPP

#include "components/journal/ledger.hpp"
#include "components/store/keyed_record.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace journal
{

/// The ledger at one offset of the journal, so that the records before it may expire.
struct Snapshot
{
    Ledger m_ledger;
    /// Offset of the first record that is not in the ledger.
    std::uint64_t m_next = 0;

    bool operator==(const Snapshot &) const = default;
};

/// Cuts a snapshot into records of a keyed topic. `slot` alternates between two, so that the one before stays whole until
/// the new one is stored; the last record names the slot that counts.
std::vector<store::KeyedRecord> encodeSnapshot(const Ledger &ledger, std::uint64_t next, unsigned slot);

/// The newest whole snapshot among the records of the topic; nothing where there is none.
std::optional<Snapshot> assembleSnapshot(const std::vector<store::KeyedRecord> &records);

}

#endif
