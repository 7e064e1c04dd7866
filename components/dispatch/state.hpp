#ifndef COMPONENTS_DISPATCH_STATE_HPP
#define COMPONENTS_DISPATCH_STATE_HPP

#include "components/dispatch/pending_batch.hpp"
#include "components/dispatch/reservation.hpp"
#include "components/dispatch/run_state.hpp"
#include "components/dispatch/settings.hpp"
#include "components/dispatch/step_advice.hpp"
#include "components/dispatch/wave_state.hpp"
#include "components/dispatch/worker_state.hpp"
#include "components/fleet/fencing_token.hpp"
#include "components/jobs/step_id.hpp"

#include <deque>
#include <map>
#include <optional>
#include <set>

namespace dispatch
{

/// All that the holder of the scheduling duty knows beside the journal.
struct State
{
    Settings m_settings;
    fleet::FencingToken m_token;
    std::map<fleet::WorkerId, WorkerState> m_workers;
    std::map<jobs::RunId, RunState> m_runs;
    /// Availability zones of which no instance answers this one, and when the zones' workers last answered.
    std::set<fleet::ZoneId> m_suspectedZones;
    std::map<fleet::ZoneId, fleet::BootTime> m_zoneAnsweredAt;
    std::map<fleet::ZoneId, fleet::BootTime> m_zoneProbedAt;
    /// When the list of workers was first read by this holder.
    std::optional<fleet::BootTime> m_firstListAt;
    /// Runs that have not begun or are to be stopped: those that orders may be due for.
    std::set<jobs::RunId> m_runsWithPendingOrders;
    /// Jobs that are not over, with when this holder first saw them. The time of day of their acceptance is another instance's.
    std::map<jobs::JobId, fleet::BootTime> m_activeJobs;
    std::map<jobs::StepId, Reservation> m_reservations;
    /// Workers where steps failed, and when; of jobs that are not over.
    std::map<jobs::StepId, std::map<fleet::WorkerId, fleet::BootTime>> m_failures;
    /// Of steps whose workers only the advice service knows.
    std::map<jobs::StepId, StepAdvice> m_advice;
    /// The advice service answers one question of an instance at a time.
    bool m_isQuestionOpen = false;
    fleet::BootTime m_nextQuestionAt;
    /// Gangs of which not all members are known to run; the others may have to be stopped.
    std::set<jobs::StepId> m_incompleteGangs;
    std::map<std::uint64_t, WaveState> m_waves;
    /// No order for a machine is given before then.
    fleet::BootTime m_upkeepNotBefore;
    std::deque<PendingBatch> m_pendingBatches;
    std::uint64_t m_nextBatch = 1;
    /// The store was reached lately enough to renew leases.
    bool m_mayRenewLeases = true;
    /// Something changed that may let a step start.
    bool m_planIsDue = true;
    fleet::BootTime m_plannedAt;
    fleet::BootTime m_nextPlanAt;
};

}

#endif
