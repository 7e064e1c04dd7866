#ifndef COMPONENTS_WORKERS_START_ORDER_HPP
#define COMPONENTS_WORKERS_START_ORDER_HPP

#include "components/fleet/fencing_token.hpp"
#include "components/jobs/run_id.hpp"
#include "components/workers/worker_incarnation.hpp"

#include <cstdint>
#include <string>

namespace workers
{

/// Tells a worker to start a run. Sending it again changes nothing.
struct StartOrder
{
    WorkerIncarnation m_target;
    std::string m_address;
    jobs::RunId m_run;
    std::string m_payload;
    /// Until when the worker may run what it runs, on the worker's own clock.
    std::int64_t m_leaseUntilMs = 0;
    fleet::FencingToken m_token;
    /// From where the run goes on; empty to begin at the beginning.
    std::string m_checkpoint;
    /// Proof of the advice service that the worker may run the step; empty where none is asked for.
    std::string m_ticket;

    bool operator==(const StartOrder &) const = default;
};

}

#endif
