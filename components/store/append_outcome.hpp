#ifndef COMPONENTS_STORE_APPEND_OUTCOME_HPP
#define COMPONENTS_STORE_APPEND_OUTCOME_HPP

#include <cstdint>

namespace store
{

/// What is known of an append.
enum class AppendOutcome : std::uint8_t {
    Stored,
    /// A higher epoch of the producer has been seen.
    Fenced,
    /// The sequence number does not follow the last one.
    OutOfSequence,
    /// The topic did not end where the call said.
    EndMoved,
    /// The store did nothing and said so, or no byte of the call left this process.
    Refused,
    /// No answer: the append may have been done, or may still be.
    Unknown,
};

}

#endif
