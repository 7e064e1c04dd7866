#ifndef COMPONENTS_DISPATCH_BEST_EFFORT_HPP
#define COMPONENTS_DISPATCH_BEST_EFFORT_HPP

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

/// Notes if a serving task reports response times over its target, so that no best-effort task works beside it for a while.
void recordResponseTimes(Context &context, WorkerState &worker, const jobs::RunId &id, const workers::RunningTask &task);

/// Stops tasks that only use idle processor time on workers that also run a serving task, if another worker has room for them, or if the
/// serving task misses its target for response times.
void stopBestEffortBesideServing(Context &context);

}

#endif
