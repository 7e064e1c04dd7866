#ifndef COMPONENTS_LOGGING_LEVEL_HPP
#define COMPONENTS_LOGGING_LEVEL_HPP

#include <cstdint>

namespace logging
{

/// Severity of a line, and the lowest severity that is written.
enum class Level : std::uint8_t {
    Debug,
    Info,
    Warning,
    Error,
};

}

#endif
