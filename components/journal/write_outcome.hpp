#ifndef COMPONENTS_JOURNAL_WRITE_OUTCOME_HPP
#define COMPONENTS_JOURNAL_WRITE_OUTCOME_HPP

#include <cstdint>
#include <vector>

namespace journal
{

/// What became of a batch.
struct WriteOutcome
{
    std::vector<std::uint64_t> m_stored;
    std::vector<std::uint64_t> m_refused;
    /// Where the stored records begin, and the journal's end behind them.
    std::uint64_t m_first = 0;
    std::uint64_t m_end = 0;
    /// Another writer has taken the producer's place; nothing further will be stored.
    bool m_isFenced = false;
};

}

#endif
