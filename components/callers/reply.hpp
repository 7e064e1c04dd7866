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
    /// Waiting: accepted jobs of the queue of which nothing has begun.
    std::size_t m_waitingJobs = 0;
    /// Refused: when it is worth coming back.
    fleet::Duration m_retryAfter {0};
    /// Refused, Malformed and Unknown: why, and what to do about it.
    std::string m_reason;

    bool operator==(const Reply &) const = default;
};

}

#endif
