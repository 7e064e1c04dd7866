#ifndef COMPONENTS_DISPATCH_RUN_STATE_HPP
#define COMPONENTS_DISPATCH_RUN_STATE_HPP

#include "components/dispatch/run_phase.hpp"
#include "components/fleet/boot_time.hpp"
#include "components/fleet/identifiers.hpp"
#include "components/fleet/resources.hpp"
#include "components/workers/worker_incarnation.hpp"

#include <cstdint>
#include <string>

namespace dispatch
{

/// What the holder knows of one open run beside what the journal says.
struct RunState
{
    workers::WorkerIncarnation m_on;
    fleet::Resources m_booked;
    int m_priority = 0;
    fleet::AccountId m_account;
    /// A lasting task that must keep its response times under a target.
    bool m_isServing = false;
    /// A task that takes the processor time that others leave.
    bool m_isFilling = false;
    RunPhase m_phase = RunPhase::Recording;
    fleet::BootTime m_launchedAt;

    bool m_startInFlight = false;
    int m_startTries = 0;
    /// A start had no answer and may be carried out late.
    bool m_isUncertain = false;
    /// A start of this holder had no answer. It does no harm where the run is, but would start it again in the worker's next life.
    bool m_hasUnansweredStart = false;
    /// The worker came back in a new life, and whether it has the run is not known.
    bool m_isLifeUnsure = false;
    fleet::BootTime m_nextStartAt;
    fleet::BootTime m_startedAt;
    /// The worker said that the run is over; the list of ends tells how.
    bool m_isOverThere = false;
    fleet::BootTime m_overSince;

    bool m_stopWanted = false;
    bool m_stopInFlight = false;
    bool m_stopAnswered = false;
    int m_stopTries = 0;
    fleet::BootTime m_nextStopAt;
    fleet::BootTime m_stopWantedAt;

    /// Progress as the worker told it last, and when it last moved.
    int m_percent = 0;
    /// Progress that the run began with; more than 0 where it went on from a checkpoint.
    int m_firstPercent = 0;
    fleet::BootTime m_percentAt;
    std::string m_checkpoint;
    std::string m_ticket;
    /// When the log last said that the run is overdue.
    fleet::BootTime m_overdueLoggedAt;
};

}

#endif
