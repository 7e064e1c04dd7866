#ifndef COMPONENTS_STANDIN_WORKER_STATE_HPP
#define COMPONENTS_STANDIN_WORKER_STATE_HPP

#include "components/fleet/fencing_token.hpp"
#include "components/fleet/worker_info.hpp"
#include "components/platform/command_message.hpp"
#include "components/platform/command_result.hpp"
#include "components/standin/task_event.hpp"
#include "components/standin/task_lease.hpp"

#include <map>
#include <vector>

namespace standin
{

/// The state of one stand-in worker.
struct WorkerState
{
    fleet::WorkerInfo m_info;
    /// Highest fencing token seen.
    fleet::FencingToken m_fence;
    /// Run time of tasks whose command names none.
    fleet::Duration m_defaultRunTime {20'000};
    /// Tasks started while this is set end with an error.
    bool m_failsTasks = false;
    /// A leaving worker refuses reservations.
    bool m_leaving = false;
    std::map<scheduler::TaskRef, TaskLease> m_tasks;
    std::vector<TaskEvent> m_history;

    bool operator==(const WorkerState &) const = default;
};

/// Lets time pass: tasks end and leases lapse, each at its own moment.
void advance(WorkerState &state, fleet::TimePoint now);

/// Takes a command message and reports, or refuses it whole where its fencing token is too low.
platform::CommandResult apply(WorkerState &state, const platform::CommandMessage &message, fleet::TimePoint now);

/// What live leases hold.
fleet::Resources usedResources(const WorkerState &state);

}

#endif
