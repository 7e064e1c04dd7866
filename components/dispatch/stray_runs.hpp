#ifndef COMPONENTS_DISPATCH_STRAY_RUNS_HPP
#define COMPONENTS_DISPATCH_STRAY_RUNS_HPP

#include "components/fleet/identifiers.hpp"
#include "components/jobs/task_id.hpp"

#include <set>

namespace jobs
{
struct RunId;
}

namespace workers
{
struct StopOrder;
}

namespace dispatch
{

struct Context;
struct StrayRun;
struct WorkerState;

/// Records that the worker reports a run which is not open, until it no longer does or its lease has expired.
void recordStrayRun(Context &context, const WorkerState &worker, const jobs::RunId &run);
/// Forgets the runs that were recorded so for the worker, since a newer report follows.
void forgetStrayRuns(Context &context, const WorkerState &worker);
/// Returns the tasks with such a run that may still work.
std::set<jobs::TaskId> tasksWithStrayRuns(const Context &context);
/// Records that the worker has confirmed a stop, after which a run ends within the time for stops.
void recordStrayStop(Context &context, const workers::StopOrder &order);

/// Returns whether the run has certainly ended.
bool isStrayRunOver(const Context &context, const fleet::WorkerId &id, const StrayRun &stray);
/// True if the worker has listed such a run that may still work.
bool hasStrayRuns(const Context &context, const WorkerState &worker);

}

#endif
