#ifndef COMPONENTS_PLATFORM_LOG_RECORD_HPP
#define COMPONENTS_PLATFORM_LOG_RECORD_HPP

#include "components/fleet/time.hpp"

#include <cstdint>
#include <string>

namespace platform
{

/// One record of a stream as the log returns it.
struct LogRecord
{
    std::uint64_t m_offset = 0;
    /// Time at which the log appended the record, by the log's clock.
    fleet::TimePoint m_at;
    std::string m_body;

    bool operator==(const LogRecord &) const = default;
};

}

#endif
