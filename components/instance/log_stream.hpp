#ifndef COMPONENTS_INSTANCE_LOG_STREAM_HPP
#define COMPONENTS_INSTANCE_LOG_STREAM_HPP

#include <array>
#include <cstdint>
#include <string_view>

namespace instance
{

/// The streams of the platform's log that the system uses.
enum class LogStream : std::uint8_t {
    /// Configuration changes made by operators.
    Configuration,
    /// Records about jobs, scheduling duties and instances.
    System,
};

inline constexpr std::array logStreams {LogStream::Configuration, LogStream::System};

/// Name of the stream in the platform's log.
constexpr std::string_view streamName(LogStream stream)
{
    return stream == LogStream::Configuration ? "configuration" : "system";
}

}

#endif
