#ifndef COMPONENTS_PLATFORM_APPEND_KIND_HPP
#define COMPONENTS_PLATFORM_APPEND_KIND_HPP

#include <cstdint>

namespace platform
{

/// What is known about an append.
enum class AppendKind : std::uint8_t {
    Appended,
    /// Certain not to have taken effect.
    NotAppended,
    /// May have taken effect; only reading the stream tells.
    Unknown,
};

}

#endif
