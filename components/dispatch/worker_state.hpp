#ifndef COMPONENTS_DISPATCH_WORKER_STATE_HPP
#define COMPONENTS_DISPATCH_WORKER_STATE_HPP

#include "components/dispatch/order_queue.hpp"
#include "components/fleet/boot_time.hpp"
#include "components/fleet/resources.hpp"
#include "components/jobs/run_id.hpp"
#include "components/workers/registration.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>

namespace dispatch
{

/// The holder's state of one worker.
struct WorkerState
{
    workers::Registration m_registration;
    bool m_isListed = false;
    /// When the registration was last received.
    fleet::BootTime m_listedAt;

    /// Latest reading of the worker's clock, in milliseconds, and when it was taken; the clock may run slow.
    std::optional<std::int64_t> m_clockMs;
    fleet::BootTime m_clockAt;
    /// Latest lease end that this holder sent or an earlier one may have granted, in milliseconds on the worker's clock; 0 if none.
    std::int64_t m_grantedLeaseEndMs = 0;
    /// Until when a lease may last that an earlier holder granted, or that a late order gave to a restarted worker, on this
    /// machine's clock. Not used once the worker has accepted this holder's token.
    fleet::BootTime m_predecessorLeaseUntil;

    /// Until when the worker's lease may last after the latest start order, on this machine's clock, whatever the order granted: a former holder may
    /// have granted more before, and the clock of a worker that has restarted unnoticed begins anew, so that only the maximum limits the lease.
    fleet::BootTime m_startLeaseUntil;

    bool m_pollInFlight = false;
    /// The poll in flight waits for an end, so that its answer may take long; and a second one without a wait is in flight beside it.
    bool m_doesPollWait = false;
    bool m_probeInFlight = false;
    fleet::BootTime m_pollSentAt;
    fleet::BootTime m_nextPollAt;
    fleet::BootTime m_lastAnswerAt;
    /// The worker is to be polled although it has no runs: to find out whether its zone is reachable, or whether it has ends to report.
    bool m_isProbeDue = false;
    /// Orders and polls without an answer since the last answer, and when the first of them ended.
    int m_unansweredCalls = 0;
    fleet::BootTime m_silentSince;
    /// A call had no answer, or one came from another process by its clock: the worker may have restarted under its id. Cleared by the answer of
    /// a poll, which names the incarnation. Until then nothing is sent that would mean something else to the next incarnation.
    bool m_isIncarnationInDoubt = false;
    /// When runs were last given up because the worker did not answer. Empty once it has answered a poll, which reports how they ended.
    std::optional<fleet::BootTime> m_gaveUpRunsAt;
    /// The worker has answered a poll with this holder's fencing token, and refuses orders with lower ones.
    bool m_hasAcceptedToken = false;

    /// Highest number of an end of a run that the worker reported, that is stored in the journal, and that was acknowledged to the
    /// worker, which may then forget it.
    std::uint64_t m_endsReceived = 0;
    std::uint64_t m_endsStored = 0;
    std::uint64_t m_endsAcknowledged = 0;

    /// Sum of the resources allocated to its open runs.
    fleet::Resources m_allocated;
    std::set<jobs::RunId> m_runs;
    /// By the priority of the jobs.
    std::map<int, OrderQueue> m_orderQueues;
    /// Leaves time between two polls of a worker with many runs, each of which every answer lists.
    fleet::BootTime m_pollNotBefore;
    /// Start and stop orders of its runs that are not answered yet.
    int m_ordersInFlight = 0;
    /// Numbers of serving runs, which have a target for response times, and of best-effort runs, which only use idle processor time.
    int m_servingRuns = 0;
    int m_bestEffortRuns = 0;
    /// A serving run is or was over its target for response times, so no best-effort run may work beside it until this time.
    fleet::BootTime m_disturbedUntil;
    /// Number of such times; each one doubles the next, up to a maximum.
    int m_disturbances = 0;

    /// Earliest time at which the worker shuts down; empty if it isn't draining.
    std::optional<fleet::BootTime> m_shutdownAt;
    /// The machine goes down for upkeep soon, so the worker gets no new runs.
    bool m_isCordoned = false;
    /// Latest start of a run that outlasted the time of startup failures. A faulty worker has had none since it became faulty.
    fleet::BootTime m_lastHealthyStartAt;
    fleet::BootTime m_failedAt;
    /// Consecutive failed runs.
    int m_consecutiveFailures = 0;
    /// The worker gets no new run before this time.
    fleet::BootTime m_avoidUntil;
};

}

#endif
