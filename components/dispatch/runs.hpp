#ifndef COMPONENTS_DISPATCH_RUNS_HPP
#define COMPONENTS_DISPATCH_RUNS_HPP

#include "components/fleet/boot_time.hpp"
#include "components/jobs/run_end.hpp"
#include "components/jobs/run_id.hpp"
#include "components/workers/life.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace dispatch
{

struct Context;
struct RunState;
struct State;
struct WorkerState;

/// Books the run on its worker.
void book(State &state, const jobs::RunId &run, RunState runState);

/// Books a new run and records its launch.
void launch(Context &context, const jobs::RunId &run, const workers::Life &on, const std::string &ticket);

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

WorkerState *findWorker(Context &context, const workers::Life &life);
RunState *findRun(Context &context, const jobs::RunId &run);

}

#endif
