#ifndef COMPONENTS_INSTANCE_LOG_READER_HPP
#define COMPONENTS_INSTANCE_LOG_READER_HPP

#include "components/fleet/time.hpp"

#include <optional>

namespace instance
{

/// Schedules the reads of one stream. At most one read is in flight.
struct LogReader
{
    bool m_inFlight = false;
    /// When the read in flight, or the last one, was sent.
    fleet::TimePoint m_requestSentAt;
    /// Read again without delay, because there is more to read or this instance appended a record.
    bool m_readAgain = true;
    bool m_failed = false;
    /// Send time of the last read that reached the end of the stream; absent before the first.
    std::optional<fleet::TimePoint> m_readToEndAt;

    bool operator==(const LogReader &) const = default;
};

/// Returns true if a read has to be sent now, and marks it as sent.
inline bool beginRead(LogReader &reader, fleet::Duration interval, fleet::TimePoint now)
{
    const bool again = reader.m_readAgain && !reader.m_failed;
    if (reader.m_inFlight || (!again && now < reader.m_requestSentAt + interval)) {
        return false;
    }
    reader.m_inFlight = true;
    reader.m_readAgain = false;
    reader.m_requestSentAt = now;
    return true;
}

/// Handles a read that returned a page.
inline void endRead(LogReader &reader, bool reachedEnd)
{
    reader.m_inFlight = false;
    reader.m_failed = false;
    if (reachedEnd) {
        reader.m_readToEndAt = reader.m_requestSentAt;
    } else {
        reader.m_readAgain = true;
    }
}

/// Handles a read that failed.
inline void failRead(LogReader &reader)
{
    reader.m_inFlight = false;
    reader.m_failed = true;
}

}

#endif
