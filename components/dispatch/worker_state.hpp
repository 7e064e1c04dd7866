#ifndef COMPONENTS_DISPATCH_WORKER_STATE_HPP
#define COMPONENTS_DISPATCH_WORKER_STATE_HPP

#include "components/fleet/boot_time.hpp"
#include "components/fleet/resources.hpp"
#include "components/jobs/run_id.hpp"
#include "components/workers/registration.hpp"

#include <cstdint>
#include <optional>
#include <set>

namespace dispatch
{

/// What the holder knows of one worker.
struct WorkerState
{
    workers::Registration m_registration;
    bool m_isListed = false;
    /// When the registration was taken in.
    fleet::BootTime m_listedAt;

    /// A reading of the worker's clock and when it was taken; the clock may run a little slow.
    std::optional<std::int64_t> m_clockMs;
    fleet::BootTime m_clockAt;
    /// Highest end of a lease that was sent, on the worker's clock.
    std::int64_t m_grantedLeaseEndMs = 0;
    /// A holder before may have renewed the lease until then, in this machine's time. Over once the worker answered.
    fleet::BootTime m_predecessorLeaseUntil;

    bool m_pollInFlight = false;
    fleet::BootTime m_pollSentAt;
    fleet::BootTime m_nextPollAt;
    fleet::BootTime m_lastAnswerAt;
    /// Asked without a reason of its own, to find out whether its zone is within reach.
    bool m_isProbeDue = false;
    /// Orders and looks without an answer since the last answer.
    int m_unansweredCalls = 0;
    /// The worker answered to this holder's token.
    bool m_hasAcceptedToken = false;

    /// Highest number of an end that was taken in, that is stored, and that the worker was told to forget.
    std::uint64_t m_endsReceived = 0;
    std::uint64_t m_endsStored = 0;
    std::uint64_t m_endsForgotten = 0;

    /// Sum of what its open runs need.
    fleet::Resources m_allocated;
    std::set<jobs::RunId> m_runs;
    /// Of these, tasks that must keep their response times, and tasks that take the processor time left over.
    int m_servingRuns = 0;
    int m_bestEffortRuns = 0;

    /// The machine goes down soon; no new runs.
    bool m_isCordoned = false;
    /// Latest start of a run that lived past its first moments; a worker that fails all it starts has none since it turned bad.
    fleet::BootTime m_lastHealthyStartAt;
    fleet::BootTime m_failedAt;
    /// Failed runs in a row.
    int m_failuresInRow = 0;
    /// No new run is given to the worker before then.
    fleet::BootTime m_avoidUntil;
};

}

#endif
