#ifndef COMPONENTS_RECORDS_BATCHER_HPP
#define COMPONENTS_RECORDS_BATCHER_HPP

#include "components/fleet/time.hpp"
#include "components/records/record.hpp"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>

namespace records
{

struct BatcherSettings
{
    /// Least time between two appends of one instance: 5 a second each, 45 for nine instances.
    fleet::Duration m_interval {200};
    /// An append without an answer is sent again after this long.
    fleet::Duration m_timeout = std::chrono::seconds(2);
    /// After a failure the wait doubles from m_interval up to this.
    fleet::Duration m_backoffMax = std::chrono::seconds(5);
    std::size_t m_maxRecords = 500;
    /// Records that may wait for the log; a caller's work is refused beyond it.
    std::size_t m_maxPending = 100'000;

    bool operator==(const BatcherSettings &) const = default;
};

/// Collects one writer's records into few appends. One append is open at a time and records leave in order, which is
/// what lets readers tell duplicates by the counter alone.
struct Batcher
{
    BatcherSettings m_settings;
    WriterId m_writer;
    std::uint64_t m_lastCounter = 0;
    /// Records that are not known to be in the log, oldest first.
    std::deque<Record> m_pending;
    bool m_isAppendInFlight = false;
    fleet::TimePoint m_sentAt;
    int m_failuresInRow = 0;
};

/// One append to make.
struct Append
{
    std::string m_bytes;
    /// Counter of the last record in it.
    std::uint64_t m_upTo = 0;
};

/// Adds a record and returns its id.
RecordId add(Batcher &batcher, const fleet::ZoneId &zone, fleet::FencingToken token, Body body, fleet::TimePoint now);

/// True where records that a caller's work needs can still be taken.
bool canAdd(const Batcher &batcher);

/// The append to make now, if any. After a lost answer it starts again with the same records under the same ids.
std::optional<Append> nextAppend(Batcher &batcher, fleet::TimePoint now);

/// The log took the records up to `upTo`.
void onAppendSucceeded(Batcher &batcher, std::uint64_t upTo);

/// The append failed or its answer was lost; whether it took effect does not matter.
void onAppendFailed(Batcher &batcher, fleet::TimePoint now);

}

#endif
