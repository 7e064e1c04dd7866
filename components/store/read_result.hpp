#ifndef COMPONENTS_STORE_READ_RESULT_HPP
#define COMPONENTS_STORE_READ_RESULT_HPP

#include "components/store/read_outcome.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace store
{

struct ReadResult
{
    ReadOutcome m_outcome = ReadOutcome::NoAnswer;
    /// Offset of the first of m_records.
    std::uint64_t m_from = 0;
    std::vector<std::string> m_records;
    /// The topic's end.
    std::uint64_t m_end = 0;
    /// Expired: the oldest offset that is kept.
    std::uint64_t m_oldest = 0;
    std::string m_reason;

    bool operator==(const ReadResult &) const = default;
};

}

#endif
