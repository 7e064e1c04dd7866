#ifndef COMPONENTS_STORE_READ_OUTCOME_HPP
#define COMPONENTS_STORE_READ_OUTCOME_HPP

#include <cstdint>

namespace store
{

enum class ReadOutcome : std::uint8_t {
    Read,
    /// The requested records are no longer kept.
    Expired,
    /// The store answered that it did nothing.
    Refused,
    NoAnswer,
};

}

#endif
