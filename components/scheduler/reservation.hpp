#ifndef COMPONENTS_SCHEDULER_RESERVATION_HPP
#define COMPONENTS_SCHEDULER_RESERVATION_HPP

#include "components/fleet/identifiers.hpp"
#include "components/fleet/time.hpp"
#include "components/placement/place.hpp"

namespace scheduler
{

/// Workers kept for one of the jobs that have waited longest, so that smaller jobs do not starve it.
struct Reservation
{
    fleet::JobId m_job;
    placement::Assignment m_workers;
    fleet::TimePoint m_madeAt;
    /// Expected end of the gangs that use these workers. Other jobs may be placed there only if they end before it.
    fleet::TimePoint m_dueAt;

    bool operator==(const Reservation &) const = default;
};

}

#endif
