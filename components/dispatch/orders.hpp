#ifndef COMPONENTS_DISPATCH_ORDERS_HPP
#define COMPONENTS_DISPATCH_ORDERS_HPP

#include "components/fleet/time.hpp"

#include <cstdint>
#include <optional>

namespace dispatch
{

struct Context;
struct WorkerState;

/// Sends the orders to start and stop that are due.
void sendDueOrders(Context &context);

/// Sends the looks that are due: to workers that run something, or that still have to be told to forget ends.
void sendDuePolls(Context &context);

/// Ends the runs of workers whose leases have certainly lapsed.
void endLapsedRuns(Context &context);

/// The end of a lease to ask for now; nothing where the worker's clock is not known.
std::optional<std::int64_t> leaseEnd(const Context &context, const WorkerState &worker, fleet::Duration length);

}

#endif
