#ifndef COMPONENTS_STANDIN_LOG_STREAM_HPP
#define COMPONENTS_STANDIN_LOG_STREAM_HPP

#include "components/platform/log_record.hpp"

#include <cstdint>
#include <deque>

namespace standin
{

/// Retained records of one append-only stream.
struct LogStream
{
    /// Lowest retained offset.
    std::uint64_t m_first = 0;
    std::deque<platform::LogRecord> m_records;

    bool operator==(const LogStream &) const = default;
};

}

#endif
