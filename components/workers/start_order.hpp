#ifndef COMPONENTS_WORKERS_START_ORDER_HPP
#define COMPONENTS_WORKERS_START_ORDER_HPP

#include "components/fleet/fencing_token.hpp"
#include "components/jobs/run_id.hpp"
#include "components/workers/worker_incarnation.hpp"

#include <cstdint>
#include <string>

namespace workers
{

/// Tells a worker to start a run. Idempotent.
struct StartOrder
{
    WorkerIncarnation m_target;
    std::string m_address;
    jobs::RunId m_run;
    std::string m_payload;
    /// End of the lease for all runs on the worker, on the worker's own clock.
    std::int64_t m_leaseUntilMs = 0;
    fleet::FencingToken m_token;
    /// Checkpoint to resume from; empty to start from the beginning.
    std::string m_checkpoint;
    /// Proof from the advice service that the worker may run the step; empty if none is required.
    std::string m_ticket;

    bool operator==(const StartOrder &) const = default;
};

}

#endif
