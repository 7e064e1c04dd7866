#ifndef COMPONENTS_REQUESTS_ENTRY_HPP
#define COMPONENTS_REQUESTS_ENTRY_HPP

#include "components/requests/answer.hpp"
#include "components/requests/request.hpp"
#include "components/requests/request_id_parts.hpp"
#include "components/requests/waiter.hpp"

#include <cstdint>
#include <vector>

namespace requests
{

enum class Phase : std::uint8_t {
    /// Waits for a runner; no byte has been sent.
    Queued,
    /// Bytes may have been sent and an answer may still arrive.
    Dispatched,
    /// The complete answer is stored.
    Answered,
    /// Bytes may have been sent and no answer can arrive any more.
    OutcomeUnknown,
    /// The request did not run and will never run.
    Refused,
};

/// An attempt to run a request on a runner that has no answer yet.
struct OpenAttempt
{
    int m_attempt = 0;
    fleet::RunnerId m_runner;
    fleet::TimePoint m_sentAt;

    bool operator==(const OpenAttempt &) const = default;
};

/// A request in the table of the instance that dispatches it.
struct Entry
{
    Request m_request;
    RequestIdParts m_idParts;
    Phase m_phase = Phase::Queued;
    /// Attempts made so far.
    int m_attempts = 0;
    std::vector<OpenAttempt> m_openAttempts;
    /// Attempts that ran or may have run. The request can only be refused as not run while this is 0.
    int m_possibleRuns = 0;
    Answer m_answer;
    std::vector<Waiter> m_waiters;
    /// Time of this request's entry in State::m_timers.
    fleet::TimePoint m_timerAt;
    /// True if the request is queued for a retry, not for its first attempt.
    bool m_retrying = false;
    /// True after the time for a second, hedged attempt has come, whether or not one could be sent.
    bool m_hedged = false;
    std::uint64_t m_digest = 0;

    bool operator==(const Entry &) const = default;

    bool isFinished() const
    {
        return m_phase == Phase::Answered || m_phase == Phase::OutcomeUnknown || m_phase == Phase::Refused;
    }
};

}

#endif
