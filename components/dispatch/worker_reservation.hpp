#ifndef COMPONENTS_DISPATCH_WORKER_RESERVATION_HPP
#define COMPONENTS_DISPATCH_WORKER_RESERVATION_HPP

#include "components/fleet/resources.hpp"
#include "components/fleet/time.hpp"
#include "components/jobs/step_id.hpp"

namespace dispatch
{

/// Capacity of one worker that is reserved for a step; the worker's part of a `Reservation`.
struct WorkerReservation
{
    jobs::StepId m_step;
    int m_rank = 0;
    fleet::Resources m_resources;
    /// Time until the reservation should be met. Zero if runs are being stopped for it.
    fleet::Duration m_expectedWait {0};

    bool operator==(const WorkerReservation &) const = default;
};

}

#endif
