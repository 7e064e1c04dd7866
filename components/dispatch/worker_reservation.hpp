#ifndef COMPONENTS_DISPATCH_WORKER_RESERVATION_HPP
#define COMPONENTS_DISPATCH_WORKER_RESERVATION_HPP

#include "components/fleet/resources.hpp"
#include "components/jobs/step_id.hpp"

namespace dispatch
{

/// Capacity of one worker that is reserved for a step; the worker's part of a `Reservation`.
struct WorkerReservation
{
    jobs::StepId m_step;
    int m_rank = 0;
    fleet::Resources m_resources;

    bool operator==(const WorkerReservation &) const = default;
};

}

#endif
