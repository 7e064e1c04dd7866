#ifndef COMPONENTS_DISPATCH_STATE_HPP
#define COMPONENTS_DISPATCH_STATE_HPP

#include "components/dispatch/awaited_starts.hpp"
#include "components/dispatch/closed_run.hpp"
#include "components/dispatch/pending_batch.hpp"
#include "components/dispatch/reported_stray.hpp"
#include "components/dispatch/reservation.hpp"
#include "components/dispatch/run_state.hpp"
#include "components/dispatch/run_time_calibration.hpp"
#include "components/dispatch/settings.hpp"
#include "components/dispatch/step_advice.hpp"
#include "components/dispatch/stray_run.hpp"
#include "components/dispatch/unanswered_start.hpp"
#include "components/dispatch/waiting_step.hpp"
#include "components/dispatch/wave_state.hpp"
#include "components/dispatch/worker_state.hpp"
#include "components/fleet/fencing_token.hpp"
#include "components/jobs/step_id.hpp"
#include "components/run_times/model.hpp"

#include <deque>
#include <map>
#include <optional>
#include <set>

namespace dispatch
{

/// State of the holder of the scheduling duty, in addition to the journal.
struct State
{
    Settings m_settings;
    fleet::FencingToken m_token;
    std::map<fleet::WorkerId, WorkerState> m_workers;
    std::map<jobs::RunId, RunState> m_runs;
    /// Availability zones of which no instance answers this one; when any worker of a zone last answered; and when a zone was last
    /// probed.
    std::set<fleet::ZoneId> m_suspectedZones;
    std::map<fleet::ZoneId, fleet::BootTime> m_zoneAnsweredAt;
    std::map<fleet::ZoneId, fleet::BootTime> m_zoneProbedAt;
    /// When this holder first read the worker list.
    std::optional<fleet::BootTime> m_firstListAt;
    /// Start orders of this holder without an answer that may still be carried out, also of runs that have ended since.
    std::map<fleet::WorkerId, std::map<jobs::RunId, UnansweredStart>> m_unansweredStarts;
    /// Runs that workers reported although they are not open, until they have ended.
    std::map<fleet::WorkerId, std::map<jobs::RunId, StrayRun>> m_strayRuns;
    /// For the logs: runs closed of late that may still turn up on a worker, oldest first, and stray runs that were counted.
    std::deque<ClosedRun> m_closedRuns;
    std::map<jobs::RunId, ReportedStray> m_reportedStrays;
    /// Sum of the resources that the open runs ask for, by account. It changes with m_runs.
    std::map<fleet::AccountId, fleet::Resources> m_accountUse;
    /// Runs whose start is awaited, by job. It changes with m_runs.
    AwaitedStarts m_awaitedStarts;
    /// The last plan left out tasks that may be launched once some of the awaited starts are answered.
    bool m_isPlanLimited = false;
    /// Runs that have not started or are to be stopped.
    std::set<jobs::RunId> m_unsettledRuns;
    /// Where the next search for overdue runs goes on among them.
    jobs::RunId m_nextRunToCheck;
    /// Jobs that are not over, with the time when this holder first saw them. Their time of acceptance is from the clock of another
    /// instance.
    std::map<jobs::JobId, fleet::BootTime> m_activeJobs;
    std::map<jobs::StepId, Reservation> m_reservations;
    /// Steps with tasks that the last plan could not place.
    std::map<jobs::StepId, WaitingStep> m_waitingSteps;
    fleet::BootTime m_waitsReportedAt;
    /// Workers where steps of active jobs failed, and when.
    std::map<jobs::StepId, std::map<fleet::WorkerId, fleet::BootTime>> m_failures;
    /// Long-running steps of jobs that cause their failures; their tasks would otherwise start again without pause.
    std::map<jobs::StepId, fleet::BootTime> m_restartNotBefore;
    /// Gangs of which a member was stopped and wrote a checkpoint, with the number of that run.
    std::map<jobs::StepId, std::uint32_t> m_stoppedGangRuns;
    /// Run times learned by this holder. Whether decisions use them is a setting; see Settings.
    run_times::Model m_runTimes;
    /// How right the expected run times were, over all jobs and by job that is not over.
    RunTimeCalibration m_calibration;
    std::map<jobs::JobId, RunTimeCalibration> m_jobCalibrations;
    /// Advice for steps of queues that require the advice service.
    std::map<jobs::StepId, StepAdvice> m_advice;
    /// The advice service answers one question of an instance at a time.
    bool m_isQuestionOpen = false;
    fleet::BootTime m_nextQuestionAt;
    /// Gangs of which not all members are known to run; the running members may have to be stopped.
    std::set<jobs::StepId> m_incompleteGangs;
    std::map<std::uint64_t, WaveState> m_waves;
    /// No upkeep order is sent before this time.
    fleet::BootTime m_upkeepNotBefore;
    std::deque<PendingBatch> m_pendingBatches;
    std::uint64_t m_nextBatch = 1;
    /// The store was reached recently enough to renew leases.
    bool m_mayRenewLeases = true;
    /// What the operators set was read recently enough to start work by it.
    bool m_isConfigCurrent = true;
    /// A change may allow a step to start.
    bool m_planIsDue = true;
    fleet::BootTime m_plannedAt;
    fleet::BootTime m_nextPlanAt;
};

}

#endif
