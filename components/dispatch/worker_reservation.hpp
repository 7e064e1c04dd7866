#ifndef COMPONENTS_DISPATCH_WORKER_RESERVATION_HPP
#define COMPONENTS_DISPATCH_WORKER_RESERVATION_HPP

#include "components/fleet/resources.hpp"
#include "components/jobs/step_id.hpp"

namespace dispatch
{

/// Room on one worker that is kept for a step; the worker's part of a reservation.
struct WorkerReservation
{
    jobs::StepId m_step;
    int m_rank = 0;
    fleet::Resources m_resources;

    bool operator==(const WorkerReservation &) const = default;
};

}

#endif
