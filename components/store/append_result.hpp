#ifndef COMPONENTS_STORE_APPEND_RESULT_HPP
#define COMPONENTS_STORE_APPEND_RESULT_HPP

#include "components/store/append_outcome.hpp"

#include <cstdint>
#include <string>

namespace store
{

struct AppendResult
{
    AppendOutcome m_outcome = AppendOutcome::Unknown;
    /// Stored: offset of the first record.
    std::uint64_t m_first = 0;
    /// Stored and EndMoved: the topic's end.
    std::uint64_t m_end = 0;
    /// OutOfSequence: the expected sequence number.
    std::uint64_t m_expected = 0;
    /// For logs; empty if stored.
    std::string m_reason;

    bool operator==(const AppendResult &) const = default;
};

}

#endif
