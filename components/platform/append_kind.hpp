#ifndef COMPONENTS_PLATFORM_APPEND_KIND_HPP
#define COMPONENTS_PLATFORM_APPEND_KIND_HPP

#include <cstdint>

namespace platform
{

/// What the caller can conclude about an append.
enum class AppendKind : std::uint8_t {
    Appended,
    /// The record was certainly not appended.
    NotAppended,
    /// The record may have been appended; only reading the stream can tell.
    Unknown,
};

}

#endif
