#ifndef COMPONENTS_SCHEDULER_REPORTS_HPP
#define COMPONENTS_SCHEDULER_REPORTS_HPP

#include "components/scheduler/context.hpp"
#include "components/scheduler/events.hpp"

namespace scheduler
{

/// Takes in what a worker says about its leases. Reports older than one already taken in are dropped.
void applyReport(Context &context, const WorkerReported &report);

/// Every lease on the worker is certainly over.
void removeWorker(Context &context, const WorkerRemoved &event);

}

#endif
