#ifndef COMPONENTS_INSTANCE_LOG_STREAM_HPP
#define COMPONENTS_INSTANCE_LOG_STREAM_HPP

#include <array>
#include <cstdint>
#include <string_view>

namespace instance
{

/// The streams of the platform's log that the system uses.
enum class LogStream : std::uint8_t {
    /// The operators' changes.
    Configuration,
    /// The system's own records.
    System,
};

inline constexpr std::array logStreams {LogStream::Configuration, LogStream::System};

/// Name of the stream at the log.
constexpr std::string_view streamName(LogStream stream)
{
    return stream == LogStream::Configuration ? "configuration" : "system";
}

}

#endif
