#ifndef COMPONENTS_PLATFORM_LOG_PAGE_HPP
#define COMPONENTS_PLATFORM_LOG_PAGE_HPP

#include "components/platform/log_record.hpp"

#include <cstdint>
#include <vector>

namespace platform
{

/// Records returned by one read of a stream.
struct LogPage
{
    /// Lowest retained offset. If it is above the requested offset, the records in between have expired.
    std::uint64_t m_firstOffset = 0;
    /// One past the last offset of the stream.
    std::uint64_t m_endOffset = 0;
    std::vector<LogRecord> m_records;

    bool operator==(const LogPage &) const = default;
};

}

#endif
