#ifndef COMPONENTS_DISPATCH_RUNS_HPP
#define COMPONENTS_DISPATCH_RUNS_HPP

#include "components/dispatch/run_end_proof.hpp"
#include "components/fleet/boot_time.hpp"
#include "components/jobs/run_end.hpp"
#include "components/jobs/run_id.hpp"
#include "components/workers/worker_incarnation.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace fleet
{
struct Resources;
}

namespace jobs
{
struct StepId;
struct StepSpec;
}

namespace journal
{
struct JobRecord;
}

namespace dispatch
{

struct Context;
struct RunState;
struct State;
struct WorkerState;

/// Returns the specification of the step as submitted.
const jobs::StepSpec &stepOf(const Context &context, const jobs::StepId &step);

/// Returns the resources that one task of the step is allocated. Best-effort tasks are allocated no processor cores.
fleet::Resources allocationFor(const jobs::StepSpec &step);

/// Makes the state of a new run, or of one that is taken over, from the journal and the catalog.
RunState makeRunState(const Context &context, const journal::JobRecord &job, std::uint16_t stepNumber, const workers::WorkerIncarnation &incarnation);

/// Adds the run and allocates its resources on its worker.
void addRun(State &state, const jobs::RunId &run, RunState runState);

/// Records that the start of the run is no longer awaited: its order was answered or given up.
void settleStart(State &state, const jobs::RunId &run, RunState &runState);

/// Adds a new run and records its launch.
void launch(Context &context, const jobs::RunId &run, const workers::WorkerIncarnation &incarnation, const std::string &ticket);

/// Records the end of a run and frees its resources. References to its state are invalid afterwards.
void endRun(Context &context, const jobs::RunId &run, jobs::RunEnd end, const std::string &checkpoint, RunEndProof proof);

/// Records that a run which the journal has closed was done, unless its task is done already or no longer needed. The lease of a worker
/// that does not answer expires, and its runs are given up, but a run may have been done before.
void recordDoneAfterClose(Context &context, const jobs::RunId &run, const workers::WorkerIncarnation &incarnation);

/// Requests that a run be stopped. A run for which no start order was sent ends at once.
void requestStop(Context &context, const jobs::RunId &run, const std::string &why);

/// Stops runs that are no longer needed: the rest of a broken gang, copies of tasks that are done, and runs of a job that is over. Removes the
/// state kept for a job that is over. Reads the open runs of what has changed only, since a job may have any number of others.
void reconcileChanged(Context &context);

/// Returns how long the run has worked, as far as is known.
fleet::Duration ranFor(const RunState &run, fleet::BootTime now);

/// Returns what the worker's clock shows now if it runs at the rate of this machine's, in milliseconds; nothing if it has never been read.
std::optional<std::int64_t> estimatedWorkerClock(const WorkerState &worker, fleet::BootTime now);

/// Returns the lowest value that the worker's clock can show now, in milliseconds; nothing if it has never been read.
std::optional<std::int64_t> minWorkerClock(const WorkerState &worker, fleet::BootTime now);

/// True if every lease that the worker may hold has certainly expired.
bool hasLeaseExpired(const WorkerState &worker, fleet::BootTime now);

/// Records a reading of the worker's clock, in milliseconds, unless it is older than the one known.
void recordClock(WorkerState &worker, std::int64_t clockMs, fleet::BootTime now);

/// Records a healthy start on the worker if the run has outlasted the time of startup failures.
void recordHealthyStart(WorkerState &worker, const RunState &run, fleet::BootTime now);

/// Returns the worker if it is known and still in this incarnation; otherwise null.
WorkerState *findWorker(Context &context, const workers::WorkerIncarnation &incarnation);
RunState *findRun(Context &context, const jobs::RunId &run);

}

#endif
