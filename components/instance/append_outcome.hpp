#ifndef COMPONENTS_INSTANCE_APPEND_OUTCOME_HPP
#define COMPONENTS_INSTANCE_APPEND_OUTCOME_HPP

#include <cstdint>

namespace instance
{

/// What is known about one append.
enum class AppendOutcome : std::uint8_t {
    Appended,
    /// The log took nothing.
    NotAppended,
    /// The log may have taken the record; repeating it is safe, as each record carries a unique id.
    Unknown,
};

}

#endif
