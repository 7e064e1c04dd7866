#include "components/records/batcher.hpp"

#include "components/records/stream_reader.hpp"

#include <algorithm>

namespace records
{

namespace
{

/// Maximum number of doublings of the wait after failures.
constexpr int maxDoublings = 10;

fleet::Duration waitAfterSend(const Batcher &batcher)
{
    if (batcher.m_isAppendInFlight) {
        return batcher.m_settings.m_timeout;
    }
    const int doublings = std::min(batcher.m_failuresInRow, maxDoublings);
    return std::min(batcher.m_settings.m_interval * (std::int64_t {1} << doublings), std::max(batcher.m_settings.m_interval, batcher.m_settings.m_backoffMax));
}

}

RecordId add(Batcher &batcher, const fleet::ZoneId &zone, fleet::FencingToken token, Body body, fleet::TimePoint now)
{
    RecordId id {batcher.m_writer, ++batcher.m_lastCounter};
    batcher.m_pending.push_back({id, zone, token, now, std::move(body)});
    return id;
}

bool canAdd(const Batcher &batcher)
{
    return batcher.m_pending.size() < batcher.m_settings.m_maxPending;
}

std::optional<Append> nextAppend(Batcher &batcher, fleet::TimePoint now)
{
    if (batcher.m_pending.empty() || now < batcher.m_sentAt + waitAfterSend(batcher)) {
        return std::nullopt;
    }
    const std::size_t count = std::min(batcher.m_pending.size(), batcher.m_settings.m_maxRecords);
    const Batch batch {{batcher.m_pending.begin(), batcher.m_pending.begin() + static_cast<std::ptrdiff_t>(count)}};
    batcher.m_isAppendInFlight = true;
    batcher.m_sentAt = now;
    return Append {encodeEntry(batch), batch.m_records.back().m_id.m_counter};
}

void onAppendSucceeded(Batcher &batcher, std::uint64_t upTo)
{
    while (!batcher.m_pending.empty() && batcher.m_pending.front().m_id.m_counter <= upTo) {
        batcher.m_pending.pop_front();
    }
    batcher.m_isAppendInFlight = false;
    batcher.m_failuresInRow = 0;
}

void onAppendFailed(Batcher &batcher, fleet::TimePoint now)
{
    batcher.m_isAppendInFlight = false;
    batcher.m_sentAt = now;
    ++batcher.m_failuresInRow;
}

}
