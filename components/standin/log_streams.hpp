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

/// The streams of a stand-in for the platform's log.
struct LogStreams
{
    /// Records older than this expire.
    fleet::Duration m_retention {std::chrono::hours(24)};
    std::map<std::string, LogStream> m_streams;

    bool operator==(const LogStreams &) const = default;
};

/// Takes a record and returns its offset.
std::uint64_t append(LogStreams &streams, const std::string &stream, std::string body, fleet::TimePoint now);

/// Reads at most `limit` records from `from`, or from the lowest retained offset where that is higher.
platform::LogPage read(LogStreams &streams, const std::string &stream, std::uint64_t from, std::size_t limit, fleet::TimePoint now);

}

#endif
