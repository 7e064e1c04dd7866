#ifndef COMPONENTS_DISPATCH_WORKER_ADVICE_HPP
#define COMPONENTS_DISPATCH_WORKER_ADVICE_HPP

#include "components/fleet/boot_time.hpp"
#include "components/workers/worker_incarnation.hpp"

#include <string>

namespace dispatch
{

/// What the advice service said of one worker for one step. Whether the worker may run the step does not change.
struct WorkerAdvice
{
    bool m_isPermitted = false;
    /// The ticket holds for this life of the worker, until then.
    workers::WorkerIncarnation m_on;
    std::string m_ticket;
    fleet::BootTime m_validUntil;

    bool operator==(const WorkerAdvice &) const = default;
};

}

#endif
