#ifndef COMPONENTS_STORE_APPEND_OUTCOME_HPP
#define COMPONENTS_STORE_APPEND_OUTCOME_HPP

#include <cstdint>

namespace store
{

/// Outcome of an append, as far as it is known.
enum class AppendOutcome : std::uint8_t {
    Stored,
    /// A higher epoch of the producer has been seen.
    Fenced,
    /// The sequence number does not follow the last one.
    OutOfSequence,
    /// The topic did not end at the required offset.
    EndMoved,
    /// The store answered that it did nothing, or no byte of the call left this process.
    Refused,
    /// No answer: the records may already be stored, or may be stored later.
    Unknown,
};

}

#endif
