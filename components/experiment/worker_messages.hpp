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

/// Sends one message to the worker, subject to the message faults. The worker's report is subject to them as well.
void sendCommands(RunState &run, const fleet::WorkerId &worker, const std::vector<scheduler::WorkerCommand> &commands, fleet::TimePoint now);

/// Passes changes on a worker to the checks and schedules a check of the worker for its next expected change.
void processChanges(RunState &run, std::size_t worker, const std::vector<TaskChange> &changes, fleet::TimePoint now);

}

#endif
