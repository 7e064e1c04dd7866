#ifndef COMPONENTS_WORKERS_POLL_RESULT_HPP
#define COMPONENTS_WORKERS_POLL_RESULT_HPP

#include "components/workers/ended_task.hpp"
#include "components/workers/poll_outcome.hpp"
#include "components/workers/running_task.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace workers
{

/// A worker returns at most this many ends at a time.
inline constexpr std::size_t maxEndsAtOnce = 500;

struct PollResult
{
    PollOutcome m_outcome = PollOutcome::NoAnswer;
    /// Start time of the incarnation that answered, in Unix milliseconds.
    std::optional<std::int64_t> m_startedAtMs;
    std::int64_t m_clockMs = 0;
    std::vector<RunningTask> m_running;
    /// Ends above PollOrder::m_acknowledgedUpTo, oldest first. Ends that do not fit follow in the next answer.
    std::vector<EndedTask> m_ended;
    std::string m_reason;

    bool operator==(const PollResult &) const = default;
};

}

#endif
