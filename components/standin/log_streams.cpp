#include "components/standin/log_streams.hpp"

#include <algorithm>
#include <utility>

namespace standin
{

namespace
{

void expire(LogStream &stream, fleet::TimePoint oldest)
{
    while (!stream.m_records.empty() && stream.m_records.front().m_at < oldest) {
        stream.m_records.pop_front();
        ++stream.m_first;
    }
}

}

std::uint64_t append(LogStreams &streams, const std::string &stream, std::string body, fleet::TimePoint now)
{
    auto &records = streams.m_streams[stream];
    const auto offset = records.m_first + records.m_records.size();
    records.m_records.push_back({offset, now, std::move(body)});
    return offset;
}

platform::LogPage read(LogStreams &streams, const std::string &stream, std::uint64_t from, std::size_t limit, fleet::TimePoint now)
{
    auto &records = streams.m_streams[stream];
    expire(records, now - streams.m_retention);
    platform::LogPage page {records.m_first, records.m_first + records.m_records.size(), {}};
    const auto start = std::clamp(from, page.m_firstOffset, page.m_endOffset) - page.m_firstOffset;
    const auto count = std::min<std::size_t>(limit, records.m_records.size() - start);
    const auto begin = records.m_records.begin() + static_cast<std::ptrdiff_t>(start);
    page.m_records.assign(begin, begin + static_cast<std::ptrdiff_t>(count));
    return page;
}

}
