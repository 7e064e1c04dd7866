#ifndef COMPONENTS_SCHEDULER_REPORTS_HPP
#define COMPONENTS_SCHEDULER_REPORTS_HPP

#include "components/scheduler/context.hpp"
#include "components/scheduler/events.hpp"

namespace scheduler
{

/// Applies a worker's report on its leases. Drops reports older than one already applied.
void applyReport(Context &context, const WorkerReported &report);

/// Ends every lease on the worker, which the platform has removed.
void removeWorker(Context &context, const WorkerRemoved &event);

}

#endif
