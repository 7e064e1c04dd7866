#ifndef COMPONENTS_DISPATCH_STRAY_RUN_HPP
#define COMPONENTS_DISPATCH_STRAY_RUN_HPP

#include "components/fleet/boot_time.hpp"
#include "components/fleet/identifiers.hpp"
#include "components/fleet/resources.hpp"
#include "components/workers/worker_incarnation.hpp"

#include <optional>

namespace dispatch
{

/// A run that a worker reported although it is not open: a late start order was carried out. It is stopped.
struct StrayRun
{
    workers::WorkerIncarnation m_incarnation;
    fleet::AccountId m_account;
    fleet::Resources m_requested;
    fleet::BootTime m_seenAt;
    /// It has ended by this time, since the worker has confirmed a stop.
    std::optional<fleet::BootTime> m_endsBy;
};

}

#endif
