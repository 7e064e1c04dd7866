#ifndef COMPONENTS_CALLERS_REPLY_HPP
#define COMPONENTS_CALLERS_REPLY_HPP

#include "components/callers/reply_kind.hpp"
#include "components/fleet/time.hpp"
#include "components/jobs/job_state.hpp"

#include <cstdint>
#include <string>

namespace callers
{

/// The answer to one call.
struct Reply
{
    ReplyKind m_kind = ReplyKind::Refused;
    jobs::JobState m_state = jobs::JobState::Queued;
    /// Waiting: number of accepted jobs of the queue that have not begun.
    std::size_t m_waitingJobs = 0;
    /// Refused: how long the caller should wait before it retries.
    fleet::Duration m_retryAfter {0};
    /// Refused, OverMaximum, Malformed and Unknown: the reason and the remedy.
    std::string m_reason;

    bool operator==(const Reply &) const = default;
};

}

#endif
