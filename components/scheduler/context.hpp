#ifndef COMPONENTS_SCHEDULER_CONTEXT_HPP
#define COMPONENTS_SCHEDULER_CONTEXT_HPP

#include "components/fleet/time.hpp"
#include "components/scheduler/actions.hpp"
#include "components/scheduler/state.hpp"

#include <set>
#include <vector>

namespace scheduler
{

/// Data that the functions of one step share.
struct Context
{
    State &m_state;
    fleet::TimePoint m_now;
    std::vector<Action> m_actions;
    /// Jobs whose attempt changed and may have to change its phase.
    std::set<fleet::JobId> m_changedJobs;
    /// The event is a tick. Expensive searches that found nothing are repeated at ticks only.
    bool m_isTick = false;
    /// Every waiting group is tried. Otherwise only groups with new jobs are, because no capacity was freed for the others.
    bool m_isFullPass = false;
};

}

#endif
