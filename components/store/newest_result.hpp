#ifndef COMPONENTS_STORE_NEWEST_RESULT_HPP
#define COMPONENTS_STORE_NEWEST_RESULT_HPP

#include "components/store/keyed_record.hpp"
#include "components/store/read_outcome.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace store
{

struct NewestResult
{
    ReadOutcome m_outcome = ReadOutcome::NoAnswer;
    std::vector<KeyedRecord> m_records;
    /// True if more pages follow. The pages together are not a consistent snapshot: changes made between the reads may appear in
    /// some pages and not in others.
    bool m_hasMore = false;
    /// The topic's end when the page was made.
    std::uint64_t m_end = 0;
    std::string m_reason;

    bool operator==(const NewestResult &) const = default;
};

}

#endif
