#ifndef COMPONENTS_INSTANCE_LOG_WRITER_HPP
#define COMPONENTS_INSTANCE_LOG_WRITER_HPP

#include "components/fleet/time.hpp"
#include "components/instance/append_outcome.hpp"
#include "components/instance/append_ticket.hpp"

#include <algorithm>
#include <cstddef>
#include <deque>
#include <optional>
#include <utility>
#include <vector>

namespace instance
{

/// A record that is not certain to be in the log yet.
template<class Record>
struct PendingAppend
{
    AppendTicket m_ticket;
    Record m_record;
    fleet::TimePoint m_queuedAt;
    /// True if an append of this record ended with an unknown outcome.
    bool m_mayBeInLog = false;

    bool operator==(const PendingAppend &) const = default;
};

/// Appends the records of one stream in order, several per append, and repeats an append until the log confirms it.
///
/// At most one append is in flight, so that records keep their order.
template<class Record>
struct LogWriter
{
    /// How long a record waits for others that can share its append.
    fleet::Duration m_groupDelay {50};
    fleet::Duration m_retryDelay {500};
    /// Maximum number of records in one append.
    std::size_t m_maxGroup = 200;
    std::deque<PendingAppend<Record>> m_pending;
    /// Number of records in the append in flight; they are the first ones of m_pending.
    std::size_t m_inFlight = 0;
    std::uint64_t m_lastTicket = 0;
    /// Highest ticket that is certain to be in the log.
    AppendTicket m_appended;
    fleet::TimePoint m_retryAt;

    AppendTicket add(Record record, fleet::TimePoint now)
    {
        const AppendTicket ticket {++m_lastTicket};
        m_pending.push_back({ticket, std::move(record), now, false});
        return ticket;
    }

    /// Returns the records to append now; empty if an append is in flight or the group is neither full nor old enough.
    std::vector<Record> beginAppend(fleet::TimePoint now)
    {
        if (m_inFlight > 0 || m_pending.empty() || now < m_retryAt) {
            return {};
        }
        if (m_pending.size() < m_maxGroup && now < m_pending.front().m_queuedAt + m_groupDelay) {
            return {};
        }
        m_inFlight = std::min(m_pending.size(), m_maxGroup);
        std::vector<Record> group;
        for (std::size_t index = 0; index < m_inFlight; ++index) {
            group.push_back(m_pending[index].m_record);
        }
        return group;
    }

    /// Handles the outcome of the append in flight.
    void endAppend(AppendOutcome outcome, fleet::TimePoint now)
    {
        const std::size_t count = std::exchange(m_inFlight, 0);
        if (outcome == AppendOutcome::Appended) {
            for (std::size_t index = 0; index < count; ++index) {
                m_appended = m_pending.front().m_ticket;
                m_pending.pop_front();
            }
            return;
        }
        for (std::size_t index = 0; index < count; ++index) {
            m_pending[index].m_mayBeInLog = m_pending[index].m_mayBeInLog || outcome == AppendOutcome::Unknown;
        }
        m_retryAt = now + m_retryDelay;
    }

    /// Removes a record from the queue. Returns false if it is, or may be, in the log.
    bool withdraw(AppendTicket ticket)
    {
        const auto begin = m_pending.begin() + static_cast<std::ptrdiff_t>(m_inFlight);
        const auto found = std::find_if(begin, m_pending.end(), [&](const PendingAppend<Record> &pending) {
            return pending.m_ticket == ticket;
        });
        if (found == m_pending.end() || found->m_mayBeInLog) {
            return false;
        }
        m_pending.erase(found);
        return true;
    }

    bool isAppended(AppendTicket ticket) const
    {
        return ticket <= m_appended;
    }

    /// Returns when beginAppend() has to be called again; absent if no append is due at a later time.
    std::optional<fleet::TimePoint> nextAppend() const
    {
        if (m_inFlight > 0 || m_pending.empty()) {
            return std::nullopt;
        }
        return std::max(m_retryAt, m_pending.front().m_queuedAt + m_groupDelay);
    }
};

}

#endif
