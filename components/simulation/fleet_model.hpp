#ifndef COMPONENTS_SIMULATION_FLEET_MODEL_HPP
#define COMPONENTS_SIMULATION_FLEET_MODEL_HPP

#include "components/fleet/boot_time.hpp"
#include "components/fleet/fencing_token.hpp"
#include "components/jobs/run_id.hpp"
#include "components/jobs/step_spec.hpp"
#include "components/simulation/behaviour.hpp"
#include "components/workers/advice_answer.hpp"
#include "components/workers/advice_question.hpp"
#include "components/workers/ended_task.hpp"
#include "components/workers/order_result.hpp"
#include "components/workers/poll_order.hpp"
#include "components/workers/poll_result.hpp"
#include "components/workers/registration.hpp"
#include "components/workers/start_order.hpp"
#include "components/workers/stop_order.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace simulation
{

/// A run on a worker.
struct ModelRun
{
    fleet::BootTime m_acceptedAt;
    /// True once the task does work. The members of a gang start working when all of them are present.
    bool m_isWorking = false;
    fleet::BootTime m_workingSince;
    /// Progress stored in the checkpoint that the run resumed from.
    fleet::Duration m_resumedProgress {0};
    /// A stop was ordered; the run ends at m_stopsAt.
    bool m_isStopping = false;
    fleet::BootTime m_stopsAt;
    jobs::StepSpec m_step;
    Behaviour m_behaviour;
};

/// Model of a worker with the published behaviour: leases on its own clock, fencing, runs, and lists of running and ended tasks.
struct ModelWorker
{
    workers::Registration m_registration;
    /// False while it has crashed.
    bool m_isUp = true;
    /// Every run on this worker fails shortly after its start.
    bool m_failsEverything = false;
    /// Tasks take this many times their duration.
    int m_slowness = 1;
    /// Tasks make no progress.
    bool m_isHung = false;
    /// Reading of the worker's clock at time 0 in milliseconds, and its rate in thousandths of real time.
    std::int64_t m_clockBase = 0;
    int m_clockRate = 1000;
    fleet::FencingToken m_fencingToken;
    std::int64_t m_leaseUntilMs = 0;
    std::map<jobs::RunId, ModelRun> m_running;
    std::vector<workers::EndedTask> m_ended;
    std::uint64_t m_lastEndNumber = 0;
    /// Number of the last end before the latest expiry of the lease. Ends up to it do not count if they are acknowledged later.
    std::uint64_t m_lastExpiredEnd = 0;
    std::uint64_t m_endsAcknowledged = 0;
    /// Highest run number of each task that was stopped or ended on this worker.
    std::map<jobs::TaskId, std::uint32_t> m_highestClosedRuns;
};

/// One run as the worker saw it, for the checks of the tests.
struct RunRecord
{
    jobs::RunId m_run;
    workers::WorkerIncarnation m_incarnation;
    fleet::BootTime m_startedAt;
    fleet::BootTime m_endedAt = fleet::BootTime::max();
    std::string m_endReason;
};

/// Maximum of an account in one version of the catalog.
struct PublishedMaximum
{
    fleet::BootTime m_publishedAt;
    fleet::Resources m_maximum;
};

/// All workers, and the gangs whose members run on several of them.
struct FleetModel
{
    std::map<fleet::WorkerId, ModelWorker> m_workers;
    /// Steps and behaviour of the submitted jobs.
    std::map<jobs::JobId, std::vector<jobs::StepSpec>> m_steps;
    std::map<jobs::JobId, Behaviour> m_behaviours;
    /// Accounts of the submitted jobs, the maxima of the accounts in the order of their publication, how long a replaced one may still be in
    /// force, and the most resources that the running tasks of an account asked for.
    std::map<jobs::JobId, fleet::AccountId> m_accounts;
    std::map<fleet::AccountId, std::vector<PublishedMaximum>> m_maxima;
    fleet::Duration m_catalogInForce {3000};
    std::map<fleet::AccountId, fleet::Resources> m_peakUse;
    /// Jobs that start only with a ticket of the advice service, and the workers that get one.
    std::set<jobs::JobId> m_jobsNeedingTicket;
    std::set<fleet::WorkerId> m_permittedWorkers;
    fleet::Duration m_ticketValidity {3000};
    fleet::Duration m_leaseLimit {6000};
    fleet::Duration m_gangWait {3000};
    fleet::Duration m_stopGrace {200};
    fleet::Duration m_checkpointInterval {500};
    /// Tail of the response times that serving tasks report, in milliseconds, alone and beside a best-effort task; -1 if none.
    std::int64_t m_tailAlone = -1;
    std::int64_t m_tailBesideBestEffort = -1;
    std::vector<RunRecord> m_history;
    /// Tasks of which an end as done was acknowledged before the lease of its worker expired.
    std::set<jobs::TaskId> m_acknowledgedDone;
    /// Number of polls with an acknowledgement that the same incarnation had received before.
    int m_repeatedAcknowledgements = 0;
    /// Violated guarantees, in the order in which they were detected.
    std::vector<std::string> m_violations;
};

/// Advances the model to `now`: ends runs whose lease expired or whose work is done, and starts or ends gangs.
void advance(FleetModel &fleet, fleet::BootTime now);

/// Returns the ticket that a start order has to carry if the job needs advice; "none" if the worker is not permitted.
std::string ticketFor(const FleetModel &fleet, const jobs::StepId &step, const fleet::WorkerId &worker);
workers::AdviceAnswer advise(const FleetModel &fleet, const workers::AdviceQuestion &question);

workers::OrderResult start(FleetModel &fleet, const workers::StartOrder &order, fleet::BootTime now);
workers::OrderResult stop(FleetModel &fleet, const workers::StopOrder &order, fleet::BootTime now);
workers::PollResult poll(FleetModel &fleet, const workers::PollOrder &order, fleet::BootTime now);

/// Crashes the worker and loses its runs. With `restarts` it is up again at once, under the same id and with a new start time.
void crash(FleetModel &fleet, const fleet::WorkerId &worker, bool restarts, fleet::BootTime now);

std::int64_t clockReading(const ModelWorker &worker, fleet::BootTime now);

}

#endif
