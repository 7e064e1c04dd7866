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
    /// Minimum time between two appends of one instance: at most 5 a second, 45 a second for nine instances.
    fleet::Duration m_interval {200};
    /// An append without an answer is sent again after this time.
    fleet::Duration m_timeout = std::chrono::seconds(2);
    /// After consecutive failures the wait doubles from m_interval up to this.
    fleet::Duration m_backoffMax = std::chrono::seconds(5);
    std::size_t m_maxRecords = 500;
    /// Maximum number of records that wait for the log; calls that need a record are refused beyond it.
    std::size_t m_maxPending = 100'000;

    bool operator==(const BatcherSettings &) const = default;
};

/// Groups one writer's records into few appends (group commit). Only one append is in flight at a time and records are
/// sent in order, so that readers can recognise duplicates by the counter alone.
struct Batcher
{
    BatcherSettings m_settings;
    WriterId m_writer;
    std::uint64_t m_lastCounter = 0;
    /// Records whose append the log has not confirmed, oldest first.
    std::deque<Record> m_pending;
    bool m_isAppendInFlight = false;
    fleet::TimePoint m_sentAt;
    int m_failuresInRow = 0;
};

/// An append to send to the log.
struct Append
{
    std::string m_bytes;
    /// Counter of the last record in the append.
    std::uint64_t m_upTo = 0;
};

/// Adds a record and returns its id.
RecordId add(Batcher &batcher, const fleet::ZoneId &zone, fleet::FencingToken token, Body body, fleet::TimePoint now);

/// True if records for callers' requests can still be added; add() itself does not check this.
bool canAdd(const Batcher &batcher);

/// Returns the append to send now, if any. After a failure or a timeout it contains the same records with the same ids
/// again, and possibly later ones.
std::optional<Append> nextAppend(Batcher &batcher, fleet::TimePoint now);

/// Call when the log has stored the records up to the counter `upTo`.
void onAppendSucceeded(Batcher &batcher, std::uint64_t upTo);

/// Call when the append failed or its answer was lost. It does not matter whether it took effect: the records are sent
/// again, and readers ignore duplicates.
void onAppendFailed(Batcher &batcher, fleet::TimePoint now);

}

#endif
