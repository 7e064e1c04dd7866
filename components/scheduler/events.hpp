#ifndef COMPONENTS_SCHEDULER_EVENTS_HPP
#define COMPONENTS_SCHEDULER_EVENTS_HPP

#include "components/fleet/identifiers.hpp"
#include "components/fleet/job_spec.hpp"
#include "components/fleet/worker_info.hpp"
#include "components/scheduler/task_status.hpp"
#include "components/scheduler/zone_account.hpp"

#include <variant>
#include <vector>

namespace scheduler
{

/// A job was accepted for this zone, or is restored from the records after a change of holder.
struct JobArrived
{
    fleet::JobSpec m_spec;
    /// Attempts already made; the next one is m_attempts + 1.
    int m_attempts = 0;
    fleet::Duration m_checkpointed {0};
};

struct JobCancelRequested
{
    fleet::JobId m_job;
};

/// A worker was listed for the first time or its entry changed. Once a worker id is leaving, it stays so.
struct WorkerListed
{
    fleet::WorkerInfo m_info;
    bool m_leaving = false;
};

/// The platform removed the worker; all its leases have expired by then.
struct WorkerRemoved
{
    fleet::WorkerId m_worker;
};

/// A worker answered a command message. `m_tasks` lists every lease it holds and every final status
/// for which it has not received Forget.
struct WorkerReported
{
    fleet::WorkerId m_worker;
    std::vector<TaskStatus> m_tasks;
    /// When the command message that this answers was sent. A lease that a message before this time reserved and that
    /// the report does not list does not exist on the worker.
    fleet::TimePoint m_requestSentAt;
};

/// The configuration for this zone changed.
struct PolicyChanged
{
    std::vector<ZoneAccount> m_accounts;
};

/// Whether new tasks may start: the zone is not taken out of service and the configuration read is recent.
struct StartsAllowed
{
    bool m_allowed = true;
};

/// Lets time-dependent work run; sent at least every second.
struct Tick
{
};

using Event = std::variant<JobArrived, JobCancelRequested, WorkerListed, WorkerRemoved, WorkerReported, PolicyChanged, StartsAllowed, Tick>;

}

#endif
