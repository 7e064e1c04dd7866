#ifndef COMPONENTS_STANDIN_LOG_STREAMS_HPP
#define COMPONENTS_STANDIN_LOG_STREAMS_HPP

#include "components/fleet/time.hpp"
#include "components/platform/log_page.hpp"
#include "components/standin/log_stream.hpp"

#include <cstdint>
#include <map>
#include <string>

namespace standin
{

/// In-memory streams of the stand-in for the platform's log.
struct LogStreams
{
    /// Records older than this are removed.
    fleet::Duration m_retention {std::chrono::hours(24)};
    std::map<std::string, LogStream> m_streams;

    bool operator==(const LogStreams &) const = default;
};

/// Appends a record and returns its offset.
std::uint64_t append(LogStreams &streams, const std::string &stream, std::string body, fleet::TimePoint now);

/// Reads up to `limit` records starting at `from`, or at the lowest retained offset if that is higher.
platform::LogPage read(LogStreams &streams, const std::string &stream, std::uint64_t from, std::size_t limit, fleet::TimePoint now);

}

#endif
