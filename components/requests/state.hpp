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

/// When a finished request may be forgotten.
struct Expiry
{
    fleet::TimePoint m_at;
    fleet::RequestId m_id;

    bool operator==(const Expiry &) const = default;
};

/// When an unfinished request needs attention next.
struct RequestTimer
{
    fleet::TimePoint m_at;
    fleet::RequestId m_id;

    auto operator<=>(const RequestTimer &) const = default;
};

/// Requests of one instance: those whose ids it issued, and those it inherited in planned stops.
struct State
{
    Settings m_settings;
    fleet::ZoneId m_zone;
    /// The first is this incarnation's own.
    std::vector<IdRange> m_ranges;
    std::map<fleet::RequestId, Entry> m_entries;
    std::deque<Expiry> m_expiries;
    /// One for each unfinished request.
    std::set<RequestTimer> m_timers;
    std::map<fleet::AccountId, AccountQueue> m_queues;
    std::map<fleet::RunnerId, Runner> m_runners;
    std::vector<fleet::ZoneId> m_closedZones;
    int m_instanceCount = 1;
    /// Moving mean of the time from dispatch to answer.
    fleet::Duration m_meanServiceTime {200};
    std::size_t m_storedBytes = 0;
    std::size_t m_queued = 0;
    std::size_t m_inFlight = 0;
    bool m_stopping = false;
    /// Set when the handover was made: this instance dispatches nothing any more.
    bool m_handedOver = false;
    /// Answers that fitted no open attempt.
    std::uint64_t m_strayAnswers = 0;
};

/// The state of a new incarnation.
State makeState(const Settings &settings, const fleet::InstanceId &instance, fleet::Incarnation incarnation, const fleet::ZoneId &zone);

}

#endif
