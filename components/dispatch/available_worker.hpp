#ifndef COMPONENTS_DISPATCH_AVAILABLE_WORKER_HPP
#define COMPONENTS_DISPATCH_AVAILABLE_WORKER_HPP

#include "components/dispatch/worker_reservation.hpp"
#include "components/fleet/resources.hpp"

#include <vector>

namespace dispatch
{

struct WorkerState;

/// What one worker has free for new runs.
struct AvailableWorker
{
    WorkerState *m_state = nullptr;
    fleet::Resources m_free;
    /// What is kept of it for steps.
    std::vector<WorkerReservation> m_reservations;
    /// The worker failed what it started last. It gets one run at a time until one lives past its first moments.
    bool m_isOnProbation = false;
    bool m_hasProbationRun = false;
};

using AvailableWorkers = std::vector<AvailableWorker>;

}

#endif
