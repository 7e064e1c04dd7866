#ifndef COMPONENTS_EXPERIMENT_WORKER_MESSAGES_HPP
#define COMPONENTS_EXPERIMENT_WORKER_MESSAGES_HPP

#include "components/fleet/identifiers.hpp"
#include "components/fleet/time.hpp"
#include "components/scheduler/worker_command.hpp"

#include <cstddef>
#include <vector>

namespace experiment
{

struct RunState;
struct TaskChange;

/// Sends one message to the worker, subject to the message faults; its report comes back the same way.
void sendCommands(RunState &run, const fleet::WorkerId &worker, const std::vector<scheduler::WorkerCommand> &commands, fleet::TimePoint now);

/// Takes what happened on a worker into the checks and sees to it that the worker is looked at when more is due.
void processChanges(RunState &run, std::size_t worker, const std::vector<TaskChange> &changes, fleet::TimePoint now);

}

#endif
