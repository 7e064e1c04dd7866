#ifndef COMPONENTS_WORKERS_STOP_ORDER_HPP
#define COMPONENTS_WORKERS_STOP_ORDER_HPP

#include "components/fleet/fencing_token.hpp"
#include "components/jobs/run_id.hpp"
#include "components/workers/worker_incarnation.hpp"

#include <string>

namespace workers
{

/// Tells a worker to stop a run. The worker refuses every later order to start it, even if the run never began.
struct StopOrder
{
    WorkerIncarnation m_target;
    std::string m_address;
    jobs::RunId m_run;
    fleet::FencingToken m_token;

    bool operator==(const StopOrder &) const = default;
};

}

#endif
