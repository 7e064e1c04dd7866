#ifndef COMPONENTS_DISPATCH_BEST_EFFORT_HPP
#define COMPONENTS_DISPATCH_BEST_EFFORT_HPP

#include "components/fleet/boot_time.hpp"

namespace jobs
{
struct RunId;
}

namespace workers
{
struct RunningTask;
}

namespace dispatch
{

struct Context;
struct WorkerState;

/// True if no best-effort task may work beside the serving tasks of the worker, since one of them is or was over its target.
bool isServingDisturbed(const WorkerState &worker, fleet::BootTime now);

/// Notes if a serving task reports response times over its target, so that no best-effort task works beside it for a while.
void recordResponseTimes(Context &context, WorkerState &worker, const jobs::RunId &id, const workers::RunningTask &task);

/// Stops tasks that only use idle processor time on workers that also run a serving task, if another worker has room for them, or if the
/// serving task misses its target for response times.
void stopBestEffortBesideServing(Context &context);

}

#endif
