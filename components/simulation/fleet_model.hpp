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
    /// When the work began; a gang works once all members are there.
    bool m_isWorking = false;
    fleet::BootTime m_workingSince;
    /// Work done before, from the checkpoint that the run began with.
    fleet::Duration m_resumedProgress {0};
    /// A stop was ordered; the run is over then.
    bool m_isStopping = false;
    fleet::BootTime m_stopsAt;
    jobs::StepSpec m_step;
    Behaviour m_behaviour;
};

/// A worker as published: leases on its own clock, fencing, runs, lists of what runs and what ended.
struct ModelWorker
{
    workers::Registration m_registration;
    /// False while it has crashed.
    bool m_isUp = true;
    /// Everything that starts here fails after a moment.
    bool m_failsEverything = false;
    /// Tasks make no progress.
    bool m_isHung = false;
    /// Reading of the worker's clock at time 0, and its rate in thousandths.
    std::int64_t m_clockBase = 0;
    int m_clockRate = 1000;
    fleet::FencingToken m_fencingToken;
    std::int64_t m_leaseUntilMs = 0;
    std::map<jobs::RunId, ModelRun> m_running;
    std::vector<workers::EndedTask> m_ended;
    std::uint64_t m_lastEndNumber = 0;
    /// Highest run of a task that was stopped or ended here.
    std::map<jobs::TaskId, std::uint32_t> m_highestClosedRuns;
};

/// What the workers saw, for checks.
struct RunRecord
{
    jobs::RunId m_run;
    workers::WorkerIncarnation m_incarnation;
    fleet::BootTime m_startedAt;
    fleet::BootTime m_endedAt = fleet::BootTime::max();
    std::string m_endReason;
};

/// All workers, and the gangs that reach over several of them.
struct FleetModel
{
    std::map<fleet::WorkerId, ModelWorker> m_workers;
    /// Behaviour and steps of the jobs that were handed in.
    std::map<jobs::JobId, std::vector<jobs::StepSpec>> m_steps;
    std::map<jobs::JobId, Behaviour> m_behaviours;
    /// Jobs that start only with a ticket, and the workers that may run them.
    std::set<jobs::JobId> m_jobsNeedingTicket;
    std::set<fleet::WorkerId> m_permittedWorkers;
    fleet::Duration m_ticketValidity {3000};
    fleet::Duration m_leaseLimit {6000};
    fleet::Duration m_gangWait {3000};
    fleet::Duration m_stopGrace {200};
    fleet::Duration m_checkpointInterval {500};
    std::vector<RunRecord> m_history;
    /// What was broken, in the order it was seen.
    std::vector<std::string> m_violations;
};

/// Lets time pass: leases lapse, tasks end, gangs begin or are given up.
void advance(FleetModel &fleet, fleet::BootTime now);

/// What a start of the step on the worker has to carry where the job needs advice.
std::string ticketFor(const FleetModel &fleet, const jobs::StepId &step, const fleet::WorkerId &worker);
workers::AdviceAnswer advise(const FleetModel &fleet, const workers::AdviceQuestion &question);

workers::OrderResult start(FleetModel &fleet, const workers::StartOrder &order, fleet::BootTime now);
workers::OrderResult stop(FleetModel &fleet, const workers::StopOrder &order, fleet::BootTime now);
workers::PollResult poll(FleetModel &fleet, const workers::PollOrder &order, fleet::BootTime now);

/// The worker ends with everything on it; with `restarts` it is back at once under the same id.
void crash(FleetModel &fleet, const fleet::WorkerId &worker, bool restarts, fleet::BootTime now);

std::int64_t clockReading(const ModelWorker &worker, fleet::BootTime now);

}

#endif
