#ifndef COMPONENTS_DISPATCH_WORKER_ADVICE_HPP
#define COMPONENTS_DISPATCH_WORKER_ADVICE_HPP

#include "components/fleet/boot_time.hpp"
#include "components/workers/worker_incarnation.hpp"

#include <string>

namespace dispatch
{

/// Answer of the advice service on one worker for one step. Whether the worker may run the step does not change over time.
struct WorkerAdvice
{
    bool m_isPermitted = false;
    /// The ticket is valid for this incarnation of the worker, until `m_validUntil`.
    workers::WorkerIncarnation m_incarnation;
    std::string m_ticket;
    fleet::BootTime m_validUntil;

    bool operator==(const WorkerAdvice &) const = default;
};

}

#endif
