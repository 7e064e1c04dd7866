#ifndef COMPONENTS_JOURNAL_WRITE_OUTCOME_HPP
#define COMPONENTS_JOURNAL_WRITE_OUTCOME_HPP

#include <cstdint>
#include <vector>

namespace journal
{

/// Result of one append call. Lists hold tickets of records.
struct WriteOutcome
{
    std::vector<std::uint64_t> m_stored;
    std::vector<std::uint64_t> m_refused;
    /// Offset of the first stored record, and the offset after the last one.
    std::uint64_t m_first = 0;
    std::uint64_t m_end = 0;
    /// True if another writer has replaced this producer. Nothing further will be stored.
    bool m_isFenced = false;
};

}

#endif
