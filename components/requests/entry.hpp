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
    /// No byte has left; waits for a runner.
    Queued,
    /// Bytes have left and an answer may still come.
    Dispatched,
    /// The whole answer is stored.
    Answered,
    /// Bytes have left and no answer can come any more.
    OutcomeUnknown,
    /// Did not run and never will.
    Refused,
};

/// One attempt that has no answer yet.
struct OpenAttempt
{
    int m_attempt = 0;
    fleet::RunnerId m_runner;
    fleet::TimePoint m_sentAt;

    bool operator==(const OpenAttempt &) const = default;
};

/// One request at its dispatcher.
struct Entry
{
    Request m_request;
    RequestIdParts m_idParts;
    Phase m_phase = Phase::Queued;
    /// Attempts made so far.
    int m_attempts = 0;
    std::vector<OpenAttempt> m_openAttempts;
    /// Attempts that have run, or of which nobody can say that they have not; above 0 a refusal would be untrue.
    int m_possibleRuns = 0;
    Answer m_answer;
    std::vector<Waiter> m_waiters;
    /// The time of this request's entry among the reviews.
    fleet::TimePoint m_timerAt;
    /// Queued again for a retry, not for the first attempt.
    bool m_retrying = false;
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
