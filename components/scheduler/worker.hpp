#ifndef COMPONENTS_SCHEDULER_WORKER_HPP
#define COMPONENTS_SCHEDULER_WORKER_HPP

#include "components/fleet/time.hpp"
#include "components/fleet/worker_info.hpp"
#include "components/scheduler/task_ref.hpp"

#include <cstdint>
#include <vector>

namespace scheduler
{

/// A worker of the zone. Its capacity and allocations are in the pool at the same index.
struct Worker
{
    fleet::WorkerInfo m_info;
    bool m_listed = false;
    fleet::TimePoint m_removedAt;
    /// Counts as capacity in the feasibility check: the worker is listed, or was removed less than `m_replacementTime` ago.
    bool m_isExpected = true;
    /// Never reset once set.
    bool m_leaving = false;
    /// The worker did not answer in time; nothing is placed on it until it reports.
    bool m_isUnresponsive = false;
    /// Nothing is placed on the worker before this time.
    fleet::TimePoint m_backoffUntil;
    /// `m_requestSentAt` of the newest report applied; older reports that arrive later are dropped.
    fleet::TimePoint m_lastRequestSentAt;
    std::uint64_t m_reportCount = 0;
    /// Tasks that hold or may hold a lease on the worker.
    std::vector<TaskRef> m_tasks;
    /// Sum of the resources of these tasks.
    fleet::Resources m_leased;

    bool operator==(const Worker &) const = default;
};

}

#endif
