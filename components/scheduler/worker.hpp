#ifndef COMPONENTS_SCHEDULER_WORKER_HPP
#define COMPONENTS_SCHEDULER_WORKER_HPP

#include "components/fleet/time.hpp"
#include "components/fleet/worker_info.hpp"
#include "components/scheduler/task_ref.hpp"

#include <cstdint>
#include <vector>

namespace scheduler
{

/// A worker of the zone. Its capacity and bookings are in the pool, at the same index.
struct Worker
{
    fleet::WorkerInfo m_info;
    bool m_listed = false;
    fleet::TimePoint m_removedAt;
    /// Counts towards what the zone can hold when jobs are judged: listed, or removed not long ago.
    bool m_isExpected = true;
    /// Never unlearned.
    bool m_leaving = false;
    /// A reservation was not answered in time; nothing is placed here until the worker reports.
    bool m_isUnresponsive = false;
    /// Nothing is placed here before this time.
    fleet::TimePoint m_backoffUntil;
    /// `m_askedAt` of the newest report taken in; older ones that come later are dropped.
    fleet::TimePoint m_lastRequestSentAt;
    std::uint64_t m_reportCount = 0;
    /// Tasks that hold or may hold a lease here.
    std::vector<TaskRef> m_tasks;
    /// What these tasks use.
    fleet::Resources m_leased;

    bool operator==(const Worker &) const = default;
};

}

#endif
