#ifndef COMPONENTS_EXPERIMENT_RUN_STATE_HPP
#define COMPONENTS_EXPERIMENT_RUN_STATE_HPP

#include "components/experiment/audit.hpp"
#include "components/experiment/fake_worker.hpp"
#include "components/experiment/fault_plan.hpp"
#include "components/experiment/job_record.hpp"
#include "components/experiment/random.hpp"
#include "components/experiment/sampling.hpp"
#include "components/experiment/site.hpp"
#include "components/experiment/timer_queue.hpp"
#include "components/scheduler/events.hpp"
#include "components/scheduler/state.hpp"

#include <set>
#include <unordered_map>
#include <vector>

namespace experiment
{

/// One availability zone: its scheduler and the simulated pauses and outages.
struct ZoneRun
{
    scheduler::State m_scheduler;
    std::optional<fleet::TimePoint> m_outSince;
    fleet::TimePoint m_pausedUntil;
    /// Events that arrived while the scheduler was paused.
    std::vector<scheduler::Event> m_delayedEvents;
    /// Indices of jobs that were sent to this zone and are not running.
    std::set<std::size_t> m_waiting;
};

/// One worker and its active faults.
struct WorkerRun
{
    FakeWorker m_fake;
    std::size_t m_zone = 0;
    int m_generation = 0;
    /// Time of the next scheduled check for ended tasks and expired leases.
    fleet::TimePoint m_nextCheckAt = fleet::TimePoint::max();
    fleet::TimePoint m_unreachableUntil;
    fleet::TimePoint m_slowUntil;
    fleet::TimePoint m_lastRequestSentAt;
    std::optional<fleet::TimePoint> m_leavingSince;
};

/// Complete state of one run in virtual time.
struct RunState
{
    Site m_site;
    fleet::Duration m_horizon {0};
    std::vector<PlannedJob> m_jobs;
    FaultPlan m_faults;
    Random m_random;
    TimerQueue m_timers;
    std::vector<ZoneRun> m_zones;
    std::vector<WorkerRun> m_workers;
    std::unordered_map<fleet::JobId, std::size_t> m_jobIndex;
    std::unordered_map<fleet::WorkerId, std::size_t> m_workerIndex;
    std::vector<JobRecord> m_records;
    std::size_t m_openJobs = 0;
    Audit m_audit;
    Samples m_samples;
    double m_wastedAcceleratorHours = 0.0;
};

}

#endif
