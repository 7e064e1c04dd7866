#ifndef COMPONENTS_WORKERS_POLL_ORDER_HPP
#define COMPONENTS_WORKERS_POLL_ORDER_HPP

#include "components/fleet/fencing_token.hpp"
#include "components/fleet/time.hpp"
#include "components/workers/worker_incarnation.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace workers
{

/// Asks a worker for its running and ended runs, and renews the lease of all runs on it.
struct PollOrder
{
    WorkerIncarnation m_target;
    std::string m_address;
    fleet::FencingToken m_token;
    /// New end of the lease on the worker's own clock; nothing if the clock is not known yet.
    std::optional<std::int64_t> m_leaseUntilMs;
    /// Ends up to this number are stored in the journal. The worker may discard them.
    std::uint64_t m_acknowledgedUpTo = 0;
    /// How long the worker may wait for a run to end before it answers.
    fleet::Duration m_wait {0};

    /// Sent beside a poll that waits, to learn which incarnation answers.
    bool m_isProbe = false;

    bool operator==(const PollOrder &) const = default;
};

}

#endif
