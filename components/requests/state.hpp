#ifndef COMPONENTS_REQUESTS_STATE_HPP
#define COMPONENTS_REQUESTS_STATE_HPP

#include "components/requests/account_queue.hpp"
#include "components/requests/entry.hpp"
#include "components/requests/handover.hpp"
#include "components/requests/runner.hpp"
#include "components/requests/settings.hpp"

#include <deque>
#include <map>
#include <set>
#include <vector>

namespace requests
{

/// Time at which a finished request may be removed from the table.
struct Expiry
{
    fleet::TimePoint m_at;
    fleet::RequestId m_id;

    bool operator==(const Expiry &) const = default;
};

/// Time of the next deadline, attempt timeout or hedged attempt of an unfinished request.
struct RequestTimer
{
    fleet::TimePoint m_at;
    fleet::RequestId m_id;

    auto operator<=>(const RequestTimer &) const = default;
};

/// Requests that one instance dispatches: those whose ids it issued, and those handed over to it in planned stops.
struct State
{
    Settings m_settings;
    fleet::ZoneId m_zone;
    /// The first range is that of this incarnation itself.
    std::vector<IdRange> m_ranges;
    std::map<fleet::RequestId, Entry> m_entries;
    std::deque<Expiry> m_expiries;
    /// One timer for each unfinished request.
    std::set<RequestTimer> m_timers;
    std::map<fleet::AccountId, AccountQueue> m_queues;
    std::map<fleet::RunnerId, Runner> m_runners;
    std::vector<fleet::ZoneId> m_closedZones;
    int m_instanceCount = 1;
    /// Exponential moving average of the time from dispatch to answer.
    fleet::Duration m_meanServiceTime {200};
    std::size_t m_storedBytes = 0;
    std::size_t m_queued = 0;
    std::size_t m_inFlight = 0;
    bool m_stopping = false;
    /// Set by handOver(); this instance dispatches nothing after that.
    bool m_handedOver = false;
    /// Answers that matched no open attempt.
    std::uint64_t m_strayAnswers = 0;
};

/// Returns the state of a new incarnation.
State makeState(const Settings &settings, const fleet::InstanceId &instance, fleet::Incarnation incarnation, const fleet::ZoneId &zone);

}

#endif
