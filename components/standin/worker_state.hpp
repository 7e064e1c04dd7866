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

/// State of one stand-in worker.
struct WorkerState
{
    fleet::WorkerInfo m_info;
    /// Highest fencing token received.
    fleet::FencingToken m_fence;
    /// Run time of tasks whose start command does not specify one.
    fleet::Duration m_defaultRunTime {20'000};
    /// Tasks started while this is set end with an error.
    bool m_failsTasks = false;
    /// A leaving worker refuses reservations.
    bool m_leaving = false;
    std::map<scheduler::TaskRef, TaskLease> m_tasks;
    std::vector<TaskEvent> m_history;

    bool operator==(const WorkerState &) const = default;
};

/// Advances the state to `now`: ends tasks and expires leases, each at its due time.
void advance(WorkerState &state, fleet::TimePoint now);

/// Applies a command message and reports all tasks. A message whose fencing token is too low is refused without effect.
platform::CommandResult apply(WorkerState &state, const platform::CommandMessage &message, fleet::TimePoint now);

/// Resources of all reserved and running tasks.
fleet::Resources usedResources(const WorkerState &state);

}

#endif
