#ifndef COMPONENTS_DISPATCH_REPORTED_STRAY_HPP
#define COMPONENTS_DISPATCH_REPORTED_STRAY_HPP

#include "components/fleet/boot_time.hpp"
#include "components/jobs/run_id.hpp"
#include "components/workers/worker_incarnation.hpp"

#include <optional>

namespace dispatch
{

/// A stray run that was counted. Workers report it with each poll until it has ended.
struct ReportedStray
{
    workers::WorkerIncarnation m_incarnation;
    fleet::BootTime m_seenAt;
    /// The other open run of the task that was last reported beside it.
    std::optional<jobs::RunId> m_other;
};

}

#endif
