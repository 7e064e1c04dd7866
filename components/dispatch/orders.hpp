#ifndef COMPONENTS_DISPATCH_ORDERS_HPP
#define COMPONENTS_DISPATCH_ORDERS_HPP

#include "components/fleet/boot_time.hpp"
#include "components/fleet/time.hpp"

#include <cstdint>
#include <optional>

namespace dispatch
{

struct Context;
struct WorkerState;

/// Sends the start and stop orders that are due.
void sendDueOrders(Context &context);

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
