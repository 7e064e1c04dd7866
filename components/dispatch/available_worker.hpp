#ifndef COMPONENTS_DISPATCH_AVAILABLE_WORKER_HPP
#define COMPONENTS_DISPATCH_AVAILABLE_WORKER_HPP

#include "components/dispatch/worker_reservation.hpp"
#include "components/dispatch/worker_speed.hpp"
#include "components/fleet/resources.hpp"

#include <vector>

namespace dispatch
{

struct WorkerState;

/// A worker that accepts new runs, with its free capacity.
struct AvailableWorker
{
    WorkerState *m_state = nullptr;
    fleet::Resources m_free;
    /// Parts of the free capacity that are reserved for steps.
    std::vector<WorkerReservation> m_reservations;
    /// The latest runs on the worker failed. It gets one run at a time until a run outlasts the time of startup failures.
    bool m_isOnProbation = false;
    bool m_hasProbationRun = false;
    /// See speedClass().
    int m_speedClass = unknownSpeedClass;
};

using AvailableWorkers = std::vector<AvailableWorker>;

}

#endif
