#ifndef COMPONENTS_DISPATCH_ORDERS_HPP
#define COMPONENTS_DISPATCH_ORDERS_HPP

#include "components/fleet/boot_time.hpp"
#include "components/fleet/time.hpp"

#include <cstdint>
#include <optional>

namespace jobs
{
struct RunId;
}

namespace dispatch
{

struct Context;
struct RunState;
struct WorkerState;

/// Sends the start and stop orders that are due, as many as may be under way to each worker.
void sendDueOrders(Context &context);

/// Has the next cycles look whether an order is due for the run, if it needs one.
void queueOrder(WorkerState &worker, const jobs::RunId &id, const RunState &run);

/// Records that the order under way was answered.
void endOrder(WorkerState &worker, bool &isInFlight);

/// Removes the orders of a run that has ended.
void removeOrders(WorkerState &worker, const jobs::RunId &id, const RunState &run);

/// Sends the polls that are due: to workers with runs, to workers whose stored ends are not acknowledged yet, and to workers
/// that did not answer or are to be probed.
void sendDuePolls(Context &context);

/// True if the worker may still report how runs ended that were given up because it did not answer. It is then polled although it may
/// not be listed: its entry in the worker list is back only some time after it can be reached again.
bool mayReportEnds(const WorkerState &worker, fleet::BootTime now);

/// Ends the runs of workers whose leases have certainly expired, and those that cannot be started since their worker is silent.
void endExpiredRuns(Context &context);

/// Returns the lease end to request now, in milliseconds on the worker's clock; nothing if that clock has never been read.
std::optional<std::int64_t> leaseEnd(const Context &context, const WorkerState &worker, fleet::Duration length);

}

#endif
