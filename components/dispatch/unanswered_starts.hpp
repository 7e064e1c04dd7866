#ifndef COMPONENTS_DISPATCH_UNANSWERED_STARTS_HPP
#define COMPONENTS_DISPATCH_UNANSWERED_STARTS_HPP

#include "components/fleet/identifiers.hpp"

#include <cstddef>

namespace jobs
{
struct RunId;
}

namespace workers
{
struct OrderResult;
struct StartOrder;
struct StopOrder;
}

namespace dispatch
{

struct Context;
struct State;
struct UnansweredStart;
struct WorkerState;

void recordUnansweredStart(Context &context, const workers::StartOrder &order);
void recordStopAnswer(Context &context, const workers::StopOrder &order, const workers::OrderResult &result);

/// True if the run is no longer open on the worker, and the order may still be carried out there: its lease has not certainly expired, or the
/// worker has restarted and not confirmed a stop of the run since.
bool mayStillBeCarriedOut(const Context &context, const fleet::WorkerId &worker, const jobs::RunId &run, const UnansweredStart &start);

/// True if a start order without an answer may be carried out by the worker, also after the run has ended, if it restarts. Such a worker is polled
/// without a pause: a poll that waits ends with the process that has received it, so that a restart is known at once.
bool hasUnansweredStarts(const Context &context, const WorkerState &worker);

/// Sends stops to workers that have restarted since a start order without an answer whose run is no longer open there, so that they
/// refuse the order when it arrives.
void sendStopsOfUnansweredStarts(Context &context);

/// Number of start orders without an answer that are remembered, for the metrics.
std::size_t countUnansweredStarts(const State &state);

}

#endif
