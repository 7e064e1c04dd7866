#ifndef COMPONENTS_DISPATCH_CLOSED_RUN_HPP
#define COMPONENTS_DISPATCH_CLOSED_RUN_HPP

#include "components/dispatch/run_end_proof.hpp"
#include "components/fleet/boot_time.hpp"
#include "components/jobs/run_id.hpp"
#include "components/workers/worker_incarnation.hpp"

#include <cstdint>

namespace dispatch
{

/// A run that this holder has closed and that may still turn up on a worker, for the logs.
struct ClosedRun
{
    jobs::RunId m_run;
    workers::WorkerIncarnation m_incarnation;
    /// Start time of the incarnation that the run was launched on, or taken over on; the worker may have restarted since.
    std::int64_t m_launchedOnMs = 0;
    RunEndProof m_proof = RunEndProof::ReportedByWorker;
    fleet::BootTime m_closedAt;
};

}

#endif
