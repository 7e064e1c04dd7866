#ifndef COMPONENTS_SCHEDULER_CONTEXT_HPP
#define COMPONENTS_SCHEDULER_CONTEXT_HPP

#include "components/fleet/time.hpp"
#include "components/scheduler/actions.hpp"
#include "components/scheduler/state.hpp"

#include <set>
#include <vector>

namespace scheduler
{

/// What the parts of one step share.
struct Context
{
    State &m_state;
    fleet::TimePoint m_now;
    std::vector<Action> m_actions;
    /// Jobs whose attempt changed and may have a transition due.
    std::set<fleet::JobId> m_changedJobs;
    /// Costly searches that found nothing are repeated at a tick only.
    bool m_isTick = false;
    /// Every waiting group is tried; otherwise only those that a job joined, as nothing was freed for the others.
    bool m_isFullPass = false;
};

}

#endif
