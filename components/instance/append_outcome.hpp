#ifndef COMPONENTS_INSTANCE_APPEND_OUTCOME_HPP
#define COMPONENTS_INSTANCE_APPEND_OUTCOME_HPP

#include <cstdint>

namespace instance
{

/// Outcome of one append to the log.
enum class AppendOutcome : std::uint8_t {
    Appended,
    /// The log did not store the record.
    NotAppended,
    /// The log may have stored the record. Repeating the append is safe because each record carries a unique id.
    Unknown,
};

}

#endif
