#ifndef COMPONENTS_DISPATCH_RUN_STATE_HPP
#define COMPONENTS_DISPATCH_RUN_STATE_HPP

#include "components/dispatch/run_observation.hpp"
#include "components/dispatch/run_phase.hpp"
#include "components/fleet/boot_time.hpp"
#include "components/fleet/identifiers.hpp"
#include "components/fleet/resources.hpp"
#include "components/workers/worker_incarnation.hpp"

#include <cstdint>
#include <string>

namespace dispatch
{

/// The holder's state of one open run, in addition to its records in the journal.
struct RunState
{
    workers::WorkerIncarnation m_incarnation;
    /// Start time of the incarnation that it was launched on, or taken over on; the worker may have restarted since.
    std::int64_t m_launchedOnMs = 0;
    fleet::Resources m_allocated;
    /// What the task asks for, which counts as use of its account; more than what it is allocated if it only uses idle processor time.
    fleet::Resources m_requested;
    int m_priority = 0;
    fleet::AccountId m_account;
    /// A long-running task with a target for its response times.
    bool m_isServing = false;
    /// A task that only uses idle processor time.
    bool m_isBestEffort = false;
    /// It works beside a serving task since no other worker had room. It goes on unless the serving task suffers.
    bool m_staysBesideServing = false;
    RunPhase m_phase = RunPhase::Recording;
    fleet::BootTime m_launchedAt;

    /// It was launched by this holder and its first start order is not answered yet; see AwaitedStarts.
    bool m_isStartAwaited = false;
    bool m_startInFlight = false;
    int m_startTries = 0;
    fleet::BootTime m_startSentAt;
    /// A start order had no answer and may be carried out late.
    bool m_isStartUncertain = false;
    /// A start order of this holder had no answer. It has no effect while the run exists, but would start it again after a restart of
    /// the worker.
    bool m_hasUnansweredStart = false;
    /// The worker has restarted, and whether it has the run is not known.
    bool m_isUnconfirmedAfterRestart = false;
    fleet::BootTime m_nextStartAt;
    fleet::BootTime m_startedAt;
    /// The worker answered that the run is over; how it ended follows with its list of ends.
    bool m_isOverOnWorker = false;
    fleet::BootTime m_overSince;

    bool m_isStopRequested = false;
    bool m_stopInFlight = false;
    bool m_stopAnswered = false;
    int m_stopTries = 0;
    fleet::BootTime m_nextStopAt;
    fleet::BootTime m_stopRequestedAt;

    /// Latest progress that the worker reported, in percent; `m_percentAt` is the time of its last change.
    int m_percent = 0;
    /// Progress at the start of the run, in percent; more than 0 if it resumed from a checkpoint.
    int m_initialPercent = 0;
    fleet::BootTime m_percentAt;
    RunObservation m_observation;
    std::string m_checkpoint;
    std::string m_ticket;
    /// When the run was last logged as overdue.
    fleet::BootTime m_overdueLoggedAt;
};

}

#endif
