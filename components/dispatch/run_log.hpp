#ifndef COMPONENTS_DISPATCH_RUN_LOG_HPP
#define COMPONENTS_DISPATCH_RUN_LOG_HPP

#include "components/dispatch/run_end_proof.hpp"
#include "components/jobs/run_end.hpp"

namespace jobs
{
struct RunId;
}

namespace workers
{
struct EndedTask;
struct StartOrder;
struct StopOrder;
struct WorkerIncarnation;
}

namespace dispatch
{

struct Context;
struct RunState;
struct UnansweredStart;
struct WorkerState;

/// Logs that a run was closed, and remembers it for the lines below.
void logRunEnd(Context &context, const jobs::RunId &id, const RunState &run, jobs::RunEnd end, RunEndProof proof);

/// Logs that a worker has restarted under the same id. `worker` is its state before.
void logRestart(Context &context, const WorkerState &worker, const workers::WorkerIncarnation &restarted, const char *learnedFrom);

/// Logs a run that a worker reports as running although it is not open there, and whether its task has another open run.
void logStrayRun(Context &context, const workers::WorkerIncarnation &incarnation, const jobs::RunId &id);

/// Logs a worker's report of how a run ended that is not open there: it was given up, a former holder has stored the end, or a start order was
/// carried out late.
void logEndAfterClose(Context &context, const workers::WorkerIncarnation &incarnation, const workers::EndedTask &ended);

void logUnansweredStart(Context &context, const workers::StartOrder &order, const UnansweredStart &start);

/// Logs the first stop that is sent to an incarnation because of a start order to an earlier one, or the first confirmation.
void logStopOfLateStart(Context &context, const workers::StopOrder &stop, const UnansweredStart &start, const char *state);

}

#endif
