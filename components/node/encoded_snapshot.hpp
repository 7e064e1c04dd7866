#ifndef COMPONENTS_NODE_ENCODED_SNAPSHOT_HPP
#define COMPONENTS_NODE_ENCODED_SNAPSHOT_HPP

#include "components/store/keyed_record.hpp"

#include <cstdint>
#include <vector>

namespace node
{

/// A snapshot that may contain changes whose records are not stored yet. It is written once they are: other instances read records after its
/// offset again, which changes nothing, but must not see a change that never gets into the journal.
struct EncodedSnapshot
{
    std::vector<store::KeyedRecord> m_records;
    /// Offset of the first record that may not be included.
    std::uint64_t m_next = 0;
    /// The last batch whose changes are included; 0 if all of them were stored.
    std::uint64_t m_batch = 0;

    bool operator==(const EncodedSnapshot &) const = default;
};

}

#endif
