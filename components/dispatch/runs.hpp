#ifndef COMPONENTS_DISPATCH_RUNS_HPP
#define COMPONENTS_DISPATCH_RUNS_HPP

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

/// The step as it was handed in.
const jobs::StepSpec &stepOf(const Context &context, const jobs::StepId &step);

/// What one task of the step takes of its worker's room.
fleet::Resources bookingFor(const jobs::StepSpec &step);

/// What the journal and the catalog say of a new run or one that is taken over.
RunState describeRun(const Context &context, const journal::JobRecord &job, std::uint16_t stepNumber, const workers::WorkerIncarnation &on);

/// Books the run on its worker.
void book(State &state, const jobs::RunId &run, RunState runState);

/// Books a new run and records its launch.
void launch(Context &context, const jobs::RunId &run, const workers::WorkerIncarnation &on, const std::string &ticket);

/// Records that a run is over and frees what it had booked. The reference to its state is void afterwards.
void endRun(Context &context, const jobs::RunId &run, jobs::RunEnd end, const std::string &checkpoint);

/// Wants a run stopped: one that no order was sent for ends at once.
void wantStop(Context &context, const jobs::RunId &run, const std::string &why);

/// Stops what need not go on after runs of the job ended: the rest of a broken gang, copies, jobs that are over.
void settleJob(Context &context, jobs::JobId job);

/// Earliest reading that the worker's clock can show now; nothing where it was never read.
std::optional<std::int64_t> leastClock(const WorkerState &worker, fleet::BootTime now);

/// True where every lease that the worker may hold has certainly lapsed.
bool hasLeaseLapsed(const WorkerState &worker, fleet::BootTime now);

/// Takes in a reading of the worker's clock.
void noteClock(WorkerState &worker, std::int64_t clockMs, fleet::BootTime now);

/// Notes that the run lived past its first moments, which speaks for the worker.
void noteSoundStart(WorkerState &worker, const RunState &run, fleet::BootTime now);

WorkerState *findWorker(Context &context, const workers::WorkerIncarnation &life);
RunState *findRun(Context &context, const jobs::RunId &run);

}

#endif
